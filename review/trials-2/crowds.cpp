#include "../common-2/rig.hpp"
using namespace rig;
int main(int argc,char**argv){
  const string kind=argv[1]; const int n=atoi(argv[2]); const size_t size=strtoull(argv[3],0,10); const int mem=atoi(argv[4]);
  OpenRecord("crowds-"+kind+".txt"); auto folder=NewFolder();
  Store store({Ip(1),8642}); store.Listen();
  std::vector<std::unique_ptr<Target>> targets;
  for(int i=0;i<6;++i){targets.push_back(std::make_unique<Target>(F("i-%d",i),"s","z-a",Address{Ip(20+i),18700}));targets.back()->Listen();
    targets.back()->slots=20;
    targets.back()->behaviour=[&](Target&t,const Message&m,Arrival&a)->string{a.ran=true;a.status=200;
      if(m.target.find("slow")!=string::npos)Sleep(3);
      size_t len=m.target.find("large")!=string::npos?7000000:10;
      return Answer(200,string(len,'y'),t.Fields(m));};
    targets.back()->Register(store);}
  store.Put("op/config",Configuration(1,{{"read","/read/","safe","s",20,2}},{"s"}));
  auto node=MakeNode("edge","z-a","r",2); node.memory_mb=mem;
  Process p(node,folder); p.Start(Settings(node,store.at(),{node})); if(!p.WaitReady(10)){puts("no");return 2;}
  std::atomic<bool> stop{false}; double peak=0; std::atomic<int> ok{0},asked{0};
  std::thread mon([&]{while(!stop){if(auto e=p.Ended()){printf("ENDED %s\n",e->c_str());return;} peak=std::max(peak,p.Memory());Sleep(.01);}});
  std::thread ord([&]{while(!stop){auto r=Ask(node.front,"GET","h.example","/read/1",NewId(),2000);++asked;ok+=r.status==200;Sleep(.05);}});
  Sleep(.5);
  struct C{int fd;string out;size_t at=0,total;bool gone=false;string rep;};
  std::vector<C> cs;
  for(int i=0;i<n;++i){C c{Connect(node.front),"",0,0};
    string id=NewId(); string h="POST /read/2 HTTP/1.1\r\nHost: h.example\r\nHeatherspan-Request-Id: "+id+"\r\nHeatherspan-Deadline-Ms: 20000\r\n";
    if(kind=="announced"){c.out=h+F("Content-Length: %zu\r\n\r\n",size);c.rep=string(65536,'x');c.total=size-10;}
    else if(kind=="chunk"){c.out=h+"Transfer-Encoding: chunked\r\n\r\n";c.rep=F("%x\r\n",65536)+string(65536,'x')+"\r\n";c.total=size;}
    else if(kind=="tiny"){c.out=h+"Transfer-Encoding: chunked\r\n\r\n";for(int k=0;k<8000;++k)c.rep+="1\r\nx\r\n";c.total=size*6;}
    else if(kind=="headers"){c.out="GET /read/2 HTTP/1.1\r\nHost: h.example\r\nX-A: "+string(16000,'a');c.total=0;}
    else if(kind=="fields"){c.out="GET /read/2 HTTP/1.1\r\nHost: h.example\r\n";for(int k=0;k<2600;++k)c.out+=F("a%d:\r\n",k%10);c.total=0;}
    else if(kind=="pipe"){c.rep="GET /read/slow HTTP/1.1\r\nHost: h.example\r\nHeatherspan-Deadline-Ms: 20000\r\nX-A: "+string(15000,'a')+"\r\n\r\n";c.total=c.rep.size()*8;}
    else if(kind=="fullslow"){h.replace(6,6,"read/slow");c.out="POST /read/slow HTTP/1.1\r\nHost: h.example\r\nHeatherspan-Request-Id: "+id+F("\r\nHeatherspan-Deadline-Ms: 20000\r\nContent-Length: %zu\r\n\r\n",size);c.rep=string(65536,'x');c.total=size;}
    else if(kind=="largeread"){for(int k=0;k<8;++k)c.out+="GET /read/large HTTP/1.1\r\nHost: h.example\r\nHeatherspan-Request-Id: "+NewId()+"\r\nHeatherspan-Deadline-Ms: 20000\r\n\r\n";c.total=0;}
    if(c.fd>=0)fcntl(c.fd,F_SETFL,O_NONBLOCK); else c.gone=true; cs.push_back(std::move(c));}
  double until=Now()+8; size_t bytes=0; int gone=0;
  while(Now()<until){bool moved=false;for(auto&c:cs){if(c.gone)continue;
      if(c.at<c.out.size()){auto k=send(c.fd,c.out.data()+c.at,c.out.size()-c.at,MSG_NOSIGNAL);if(k>0){c.at+=k;moved=true;bytes+=k;}else if(errno!=EAGAIN){c.gone=true;++gone;}}
      else{size_t r=c.at-c.out.size();if(r>=c.total)continue;size_t o=r%c.rep.size();auto k=send(c.fd,c.rep.data()+o,std::min(c.rep.size()-o,c.total-r),MSG_NOSIGNAL);if(k>0){c.at+=k;moved=true;bytes+=k;}else if(errno!=EAGAIN){c.gone=true;++gone;}}}
    if(!moved)Sleep(.002);}
  stop=true;mon.join();ord.join();
  printf("%s n=%d size=%zu: peak %.0f of %d MB, sent %zu MB, gone %d, ordinary %d/%d\n",kind.c_str(),n,size,peak,mem,bytes>>20,gone,ok.load(),asked.load());
  p.Kill();fflush(stdout);std::_Exit(0);}
