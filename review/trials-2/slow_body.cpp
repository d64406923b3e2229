#include "../common-2/rig.hpp"
using namespace rig;
int main(){ OpenRecord("trial-slow.txt"); auto folder=NewFolder(); Store store({Ip(1),8642}); store.Listen();
 Target t("i-1","s","z-a",Address{Ip(20),18700}); t.Listen(); t.Register(store);
 store.Put("op/config",Configuration(1,{{"read","/read/","unsafe","s",20,2}},{"s"})); auto node=MakeNode("edge","z-a","r",2); Process p(node,folder); p.Start(Settings(node,store.at(),{node})); if(!p.WaitReady(10))return 2;
 for(double rate:{2e6,400e3,200e3}){ int fd=Connect(node.front); const size_t n=1000000; double b=Now(); SendAll(fd,"POST /read/1 HTTP/1.1\r\nHost: h.example\r\nHeatherspan-Request-Id: "+NewId()+"\r\nHeatherspan-Deadline-Ms: 20000\r\nContent-Length: 1000000\r\n\r\n");
  size_t s=0; bool ok=true; while(s<n&&ok){ok=SendAll(fd,string(10000,'x'));s+=10000;SleepUntil(b+s/rate);pollfd q{fd,POLLIN,0};if(poll(&q,1,0)>0)break;}
  string buf;Message m;ReadMessage(fd,buf,m,Now()+3);printf("%.0f bytes/s: sent %zu in %.1f s, status %d\n",rate,s,Now()-b,m.status);close(fd);}
 p.Kill();fflush(stdout);std::_Exit(0);}
