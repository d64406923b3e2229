#include <random>

#include "../common/standins.hpp"
using namespace review;
int main(int argc, char** argv) {
  const double length = atof(argv[1]);
  const unsigned seed = atoi(argv[2]);
  Folder folder;
  Record record("/dev/null");
  Store store;
  auto& door = store.AddDoor(Address(1));
  std::list<Backend> backends;
  std::atomic<unsigned> ctr{seed * 100000};
  for (int i = 0; i < 40; ++i) {
    backends.emplace_back(
        "i-" + std::to_string(i), "s", i % 2 ? "sofia-a" : "sofia-b", Address(10 + i), 0,
        [&](Backend& b, const Message& r, Connection& c) {
          std::mt19937 g(ctr++);
          auto R = [&](int n) { return (int)(g() % n); };
          const auto id = r.Header("heatherspan-request-id");
          std::string body = "<" + id + ">";
          if (R(4) == 0) body += std::string(R(200000), 'y');
          std::string idh = "Heatherspan-Request-Id: " + id + "\r\n",
                      sig = "Heatherspan-Response-Signature: s\r\n";
          auto cl = [&](const std::string& bd) {
            return "Content-Length: " + std::to_string(bd.size()) + "\r\n";
          };
          std::string ok = "HTTP/1.1 200 OK\r\n" + idh + sig + cl(body) + "\r\n" + body;
          switch (R(90)) {
            case 0:
              c.Send(ok.substr(0, R(ok.size())));
              return false;
            case 1:
              c.Send(ok.substr(0, R(ok.size())));
              c.Reset();
              return false;
            case 2:
              return c.Send(ok + ok);
            case 3: {
              if (!c.Send(ok)) return false;
              Sleep(R(30) / 1000.0);
              return c.Send(ok);
            }
            case 4:
              return c.Send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n" + ok);
            case 5: {
              std::string o =
                  "HTTP/1.1 200 OK\r\n" + idh + sig + "Transfer-Encoding: chunked\r\n\r\n";
              size_t p = 0;
              while (p < body.size()) {
                size_t n = std::min<size_t>(1 + R(5000), body.size() - p);
                char h[20];
                snprintf(h, 20, "%zx\r\n", n);
                o += h + body.substr(p, n) + "\r\n";
                p += n;
              }
              o += "0\r\n";
              if (R(2)) o += "X-T: 1\r\nContent-Length: 5\r\n";
              o += "\r\n";
              if (R(3) == 0) o.resize(R(o.size()));
              return c.Send(o) && R(3);
            }
            case 6:
              c.Send("HTTP/1.1 200 OK\r\n" + idh + sig + "\r\n" + body);
              return false;
            case 7: {
              auto m = ok;
              for (int k = 0; k < 3; ++k) m[R(std::min<int>(m.size(), 200))] = (char)R(256);
              return c.Send(m) && R(2);
            }
            case 8:
              return c.Send(
                  "HTTP/1.1 503 X\r\n" + idh +
                  "Heatherspan-Not-Executed: 1\r\nRetry-After: 0.01\r\nContent-Length: 0\r\n\r\n");
            case 9:
              return c.Send(
                  "HTTP/1.1 421 X\r\nHeatherspan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            case 10:
              return c.Send("HTTP/1.1 500 X\r\n" + idh + sig + "Content-Length: 2\r\n\r\nno");
            case 11:
              Sleep(R(100) / 1000.0);
              c.Reset();
              return false;
            case 12:
              return c.Send("HTTP/1.1 200 OK\r\nHeatherspan-Request-Id: zzz\r\n" + sig +
                            "Content-Length: 5\r\n\r\n<zzz>" + ok);
            case 13: {
              for (size_t p = 0; p < ok.size();) {
                size_t n = 1 + R(3000);
                if (!c.Send(ok.substr(p, n))) return false;
                p += n;
                if (R(4) == 0) Sleep(0.001);
              }
              return true;
            }
            default:
              return c.Send(ok);
          }
        });
  }
  store.Put("op/config", Config(1, {{"r", "safe", "s", 2, 0.6}, {"w", "unsafe", "s", 2, 0.6}}));
  for (auto& b : backends) store.Put("servers/" + b.name(), b.Entry());
  Gateway g(folder.path(), "edge-1", "sofia-a", "sofia", Address(2), door.server->Text(), {});
  g.Start();
  if (!g.WaitReady(10)) {
    puts("not ready");
    return 2;
  }
  std::list<std::thread> threads;
  std::mutex m;
  std::map<std::string, int> st;
  const auto began = Clock::now();
  std::atomic<int> n{0};
  for (int t = 0; t < 12; ++t)
    threads.emplace_back([&, t] {
      std::mt19937 rg(seed * 77 + t);
      std::unique_ptr<Connection> c;
      while (SecondsSince(began) < length) {
        const auto id = "q" + std::to_string(++n);
        const bool safe = rg() % 2;
        if (!c || c->ClosedWithin(0)) c = Connection::Open(g.address(), Gateway::kCallers);
        if (!c) {
          Sleep(0.05);
          const std::lock_guard l(m);
          ++st["noconn"];
          continue;
        }
        c->Send(safe ? RequestText("GET", "/r/" + id, id, 1500)
                     : RequestText("POST", "/w/" + id, id, 1500, "b" + id));
        if (rg() % 25 == 0) {
          Sleep(rg() % 50 / 1000.0);
          c.reset();
          continue;
        }
        auto a = c->Read(4);
        std::string what = a ? a->Word(1) : "none";
        if (a && what == "200") {
          if (a->body.rfind("<" + id + ">", 0) != 0) {
            what = "FOREIGN";
            printf("foreign %s: %s\n", id.c_str(), a->body.substr(0, 60).c_str());
          }
        }
        {
          const std::lock_guard l(m);
          ++st[what];
        }
        if (!a || a->Header("connection") == "close") c.reset();
      }
    });
  for (auto& t : threads) t.join();
  printf("ended=%d\n", (int)g.Ended());
  for (auto& [k, v] : st) printf("  %s %d\n", k.c_str(), v);
  g.Kill();
  for (auto& b : backends) b.Stop();
}
