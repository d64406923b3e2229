#include "../common-2/rig.hpp"
using namespace rig;
int main(){
  OpenRecord("trial-rec.txt"); auto folder=NewFolder();
  Store store({Ip(1),8642}); store.Listen();
  std::vector<std::unique_ptr<Target>> targets; std::mutex mu; std::map<string,Message> got; std::map<string,string> wire;
  for(int i=0;i<6;++i){targets.push_back(std::make_unique<Target>(F("i-%d",i),"s","z-a",Address{Ip(20+i),18700}));targets.back()->Listen();
    targets.back()->behaviour=[&](Target&t,const Message&m,Arrival&a)->string{a.ran=true;a.status=200;
      {std::lock_guard l(mu);got[a.id]=m;}
      string w; {std::lock_guard l(mu); w=wire[a.id];}
      if(!w.empty()){ string h; for(auto&[k,v]:t.Fields(m)) h+=k+": "+v+"\r\n"; auto at=w.find("@H"); if(at!=string::npos) w.replace(at,2,h); return w;}
      return Answer(200,"ok "+a.id,t.Fields(m));};
    targets.back()->Register(store);}
  store.Put("op/config",Configuration(1,{{"read","/read/","safe","s",20,2}},{"s"}));
  std::vector<Node> nodes{MakeNode("edge-a","z-a","r",2),MakeNode("edge-b","z-a","r",3)};
  std::vector<std::unique_ptr<Process>> ps; for(auto&n:nodes){ps.push_back(std::make_unique<Process>(n,folder));ps.back()->Start(Settings(n,store.at(),nodes));}
  for(auto&p:ps){if(!p->WaitReady(10)){puts("no");return 2;} Target::processes.push_back(p->id());}
  Target::is_cut=[&](pid_t o){return o==ps[0]->id();}; Sleep(4);
  auto raw=[&](const string&text,double s=4){string out;int fd=Connect(nodes[0].front);SendAll(fd,text);while(ReadSome(fd,out,Now()+(out.empty()?s:0.4))>0);close(fd);return out;};
  auto once=[&](bool relay){
    printf("---- relay=%d\n",relay);
    auto req=[&](const string&name,const string&method,const string&path,const string&extra,const string&body,const string&w=""){
      string id=NewId(); if(!w.empty()){std::lock_guard l(mu);wire[id]=w;}
      auto out=raw(method+" "+path+" HTTP/1.1\r\nHost: h.example\r\nHeatherspan-Request-Id: "+id+"\r\nHeatherspan-Deadline-Ms: 4000\r\n"+extra+"\r\n"+body);
      std::lock_guard l(mu); auto it=got.find(id); string g=it==got.end()?"NOT RUN":it->second.method+" "+it->second.target+" body="+std::to_string(it->second.body.size())+":"+it->second.body.substr(0,30);
      auto clip=out.size()>260?out.substr(0,260)+"...("+std::to_string(out.size())+")":out; for(auto&c:clip)if(c=='\r')c=' ';else if(c=='\n')c='|';
      printf("[%s] target: %s\n    client: %s\n",name.c_str(),g.c_str(),clip.c_str());fflush(stdout);};
    req("get","GET","/read/1","","");
    req("head","HEAD","/read/1","","", "HTTP/1.1 200 OK\r\n@HContent-Length: 500\r\n\r\n");
    req("204","GET","/read/1","","","HTTP/1.1 204 No Content\r\n@H\r\n");
    req("304","GET","/read/1","","","HTTP/1.1 304 Not\r\n@HContent-Length: 77\r\n\r\n");
    req("205","GET","/read/1","","","HTTP/1.1 205 Reset\r\n@HContent-Length: 0\r\n\r\n");
    req("chunked","GET","/read/1","","","HTTP/1.1 200 OK\r\n@HTransfer-Encoding: chunked\r\nTrailer: Heatherspan-X\r\n\r\n5;a=b\r\nhello\r\n0\r\nHeatherspan-X: 1\r\n\r\n");
    req("1xx","GET","/read/1","","","HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n@HContent-Length: 2\r\n\r\nhi");
    req("http10","GET","/read/1","","","HTTP/1.0 200 OK\r\n@HContent-Length: 2\r\n\r\nhi");
    req("both","GET","/read/1","","","HTTP/1.1 200 OK\r\n@HContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    req("2cl","GET","/read/1","","","HTTP/1.1 200 OK\r\n@HContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi!");
    req("gzipte","GET","/read/1","","","HTTP/1.1 200 OK\r\n@HTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    req("extra","GET","/read/1","","","HTTP/1.1 200 OK\r\n@HContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad");
    req("302","GET","/read/1","","","HTTP/1.1 302 Found\r\n@HLocation: /x\r\nContent-Length: 0\r\n\r\n");
    req("connhdr","GET","/read/1","","","HTTP/1.1 200 OK\r\n@HConnection: Heatherspan-Response-Signature\r\nContent-Length: 2\r\n\r\nhi");
    req("500","GET","/read/1","","","HTTP/1.1 500 E\r\n@HContent-Length: 2\r\n\r\nno");
    req("429","GET","/read/1","","","HTTP/1.1 429 E\r\n@HContent-Length: 2\r\n\r\nno");
    req("getbody","GET","/read/1?x=1&y=%2F","Content-Length: 3\r\n","abc");
    req("getchunk","GET","/read/1","Transfer-Encoding: chunked\r\n","3\r\nabc\r\n0\r\n\r\n");
    req("chunk0","POST","/read/1","Transfer-Encoding: chunked\r\n","0\r\nX-T: 1\r\n\r\n");
    req("delbody","DELETE","/read/1","Content-Length: 3\r\n","abc");
    req("del","DELETE","/read/1","","");
    req("patch","PATCH","/read/1","Content-Length: 3\r\n","abc");
    req("custom","REPORT","/read/1","Content-Length: 3\r\n","abc");
    req("lower","get","/read/1","","");
    req("options","OPTIONS","/read/1","","");
    req("path","GET","/read/..//a;b=%zz/\xc3\xa9?q=a b#frag","","");
    req("path2","GET","/read/..//a;b=%zz/\xc3\xa9?q=\"<>{}|\\^`#frag","","");
    req("dotdot","GET","/read/../x","","");
    req("tecl","POST","/read/1","Content-Length: 4\r\nTransfer-Encoding: chunked\r\n","3\r\nabc\r\n0\r\n\r\n");
    req("te-sp","POST","/read/1","Transfer-Encoding : chunked\r\n","3\r\nabc\r\n0\r\n\r\n");
    req("te2","POST","/read/1","Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n","3\r\nabc\r\n0\r\n\r\n");
    req("xte","POST","/read/1","Transfer-Encoding: xchunked\r\n","3\r\nabc\r\n0\r\n\r\n");
    req("cl+","POST","/read/1","Content-Length: +3\r\n","abc");
    req("cl dup","POST","/read/1","Content-Length: 3\r\nContent-Length: 3\r\n","abc");
    req("cl list","POST","/read/1","Content-Length: 3, 3\r\n","abc");
    req("fold","GET","/read/1","X-A: a\r\n b\r\n","");
    req("connlist","POST","/read/1","Connection: Content-Length, Heatherspan-Request-Id\r\nContent-Length: 3\r\n","abc");
    req("upgrade","GET","/read/1","Connection: Upgrade\r\nUpgrade: websocket\r\n","");
    req("expect","POST","/read/1","Expect: 100-continue\r\nContent-Length: 3\r\n","abc");
    req("two ids","GET","/read/1","Heatherspan-Request-Id: second\r\n","");
    req("pipelined","GET","/read/1","","GET /read/2 HTTP/1.1\r\nHost: h.example\r\nHeatherspan-Request-Id: p2\r\nHeatherspan-Deadline-Ms: 4000\r\n\r\n");
    req("hugechunk","POST","/read/1","Transfer-Encoding: chunked\r\n","ffffffffffffffff\r\nabc\r\n0\r\n\r\n");
    req("lf","POST","/read/1","Content-Length: 3\n","abc");
  };
  once(false);
  Target::cuts=true; for(int i=0;i<40;++i){Ask(nodes[0].front,"GET","h.example","/read/1",NewId(),500);Sleep(.02);} 
  once(true);
  for(auto&p:ps){auto e=p->Ended();printf("ended %s\n",e?e->c_str():"no");p->Kill();}
  fflush(stdout);std::_Exit(0);}
