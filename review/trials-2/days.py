import random
S='stranokrak-spikes'
F=[
 '{ kind = "answer_lost", how = "reset", share = 0.5, x = 0.03, for_s = 5.0, at = %s }',
 '{ kind = "garble", how = "extra late", share = 0.5, x = 0.02, for_s = 5.0, at = %s }',
 '{ kind = "garble", how = "unframed", share = 0.5, x = 0.02, for_s = 5.0, at = %s }',
 '{ kind = "reset_conns", share = 0.35, x = 0.55, at = %s }',
 '{ kind = "node_freeze", share = 0.11, for_s = 3.5, at = %s }',
 '{ kind = "clock_step", share = 0.28, x = 2400.0, for_s = 6.0, how = "back", at = %s }',
 '{ kind = "replace_with_reuse", share = 0.15, how = "dark", at = %s }',
 '{ kind = "platform_lost", x = 0.3, for_s = 5.0, how = "late", at = %s }',
 '{ kind = "platform_slow", x = 50.0, for_s = 4.0, at = %s }',
 '{ kind = "platform_compact", x = 3.0, for_s = 10.0, how = "drain", at = %s }',
 '{ kind = "core_cut", count = 1, for_s = 5.0, how = "leader race", at = %s }',
 '{ kind = "platform_down", how = "nodes silent", share = 0.35, for_s = 6.0, at = %s }',
 '{ kind = "node_cut", share = 0.1, for_s = 5.0, at = %s }',
 '{ kind = "herd_kill", share = 0.6, for_s = 1.0, at = %s }',
 '{ kind = "srv_crash", share = 0.15, for_s = 3.0, at = %s }',
 '{ kind = "srv_grey", share = 0.15, x = 0.4, for_s = 5.0, how = "hang", at = %s }',
 '{ kind = "lossy", x = 0.03, for_s = 5.0, at = %s }',
]
P=[
 '{ kind = "config_change", how = "route", at = %s }',
 '{ kind = "config_change", how = "weights", at = %s }',
 '{ kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.5, how = "busy", at = %s }',
 '{ kind = "release", share = 0.5, x = 1.0, gap_s = 1.0, at = %s }',
 '{ kind = "hup", share = 0.3, gap_s = 1.0, at = %s }',
 '{ kind = "scale_in", share = 0.15, at = %s }',
 '{ kind = "evacuate", for_s = 8.0, at = %s }',
]
for d in range(16,136):
  r=random.Random(d)
  t=lambda: round(r.uniform(2,32),2)
  f=[r.choice(F)%t() for _ in range(10+d%12)]; p=[r.choice(P)%t() for _ in range(3+d%6)]
  c=r.choice(['','','closing = { kind = "kill_all", down_s = 1.0 }\n','closing = { kind = "power_off_all", down_s = 1.0 }\n'])
  open(f"x{d}.toml",'w').write('[[day]]\nname = "x%d"\nlength_s = 40\n%splan = [\n  %s,\n]\nfaults = [\n  %s,\n]\n'%(d,c,',\n  '.join(p),',\n  '.join(f)))
