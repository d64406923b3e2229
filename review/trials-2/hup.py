import subprocess,time,signal,os,sys
s='''[node]
name="n"
zone="a"
region="r"
[listen]
callers="127.77.1.1:18641"
readiness="127.77.1.1:18640"
directory="127.77.1.1:18644"
metrics="127.77.1.1:18645"
[store]
address="127.77.1.1:18642"
[zones]
a="r"
'''
open('hup.toml','w').write(s)
for ms in [0,1,2,3,4,5,6,8,10,15,20,30,50]:
  n=0
  for i in range(8):
    p=subprocess.Popen(['target/bin/heatherspan-gateway','--settings','hup.toml'],stdout=subprocess.DEVNULL,stderr=subprocess.DEVNULL)
    time.sleep(ms/1000); p.send_signal(signal.SIGHUP); time.sleep(0.1)
    if p.poll() is not None: n+=1
    else: p.kill()
    p.wait()
  print(ms,n)
