#include "../common-2/rig.hpp"
using namespace rig;
int main(int argc,char**argv){
  const int rate=atoi(argv[1]); const int nt=atoi(argv[2]); const int slots=atoi(argv[3]); const int mem=160; const bool body=argc>4;
  OpenRecord("trial-e.txt"); auto folder=NewFolder();
  Store store({Ip(1),8642}); store.Listen();
  string fields; for(int i=0;i<11500;++i) fields+=F("a%d:\r\n",i%10);
  std::vector<std::unique_ptr<Target>> targets;
  for(int i=0;i<nt;++i){targets.push_back(std::make_unique<Target>(F("i-%d",i),"s","z-a",Address{Ip(20+i),18700}));targets.back()->Listen();
    targets.back()->slots=slots;
    targets.back()->behaviour=[&](Target&t,const Message&m,Arrival&a)->string{a.ran=true;a.status=200;
      string h="HTTP/1.1 200 OK\r\n"; for(auto&[k,v]:t.Fields(m)) h+=k+": "+v+"\r\n";
      if(body) return h+"Content-Length: 70000\r\n\r\n"+string(60000,'x');
      return h+fields;};
    targets.back()->Register(store);}
  store.Put("op/config",Configuration(1,{{"read","/read/","safe","s",20,10}},{"s"}));
  auto node=MakeNode("edge","z-a","r",2); node.memory_mb=mem;
  Process p(node,folder); p.Start(Settings(node,store.at(),{node})); if(!p.WaitReady(10)){puts("no");return 2;}
  std::atomic<bool> stop{false}; double peak=0; std::atomic<int> inflight{0},most{0};
  std::thread mon([&]{while(!stop){if(auto e=p.Ended()){printf("ENDED %s\n",e->c_str());return;} peak=std::max(peak,p.Memory());Sleep(.01);}});
  for(int i=0;i<rate*10;++i){ std::thread([&]{++inflight;auto r=Ask(node.front,"GET","h.example","/read/1",NewId(),15000);--inflight;}).detach(); most=std::max(most.load(),inflight.load()); Sleep(1.0/rate);}
  stop=true;mon.join(); int arr; {std::lock_guard l(g_arrivals_mutex);arr=g_arrivals.size();}
  printf("rate=%d targets=%d slots=%d: peak %.0f of %d MB, in flight most %d, arrivals %d\n",rate,nt,slots,peak,mem,most.load(),arr);fflush(stdout);
  p.Kill();std::_Exit(0);}
