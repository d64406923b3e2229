#include <random>

#include "../common/standins.hpp"
using namespace review;
int main(int argc, char** argv) {
  const int rounds = atoi(argv[1]);
  Folder folder;
  Record record("/dev/null");
  Store store;
  auto& door = store.AddDoor(Address(1));
  std::list<Backend> backends;
  std::mutex m;
  std::map<std::string, int> ran;
  std::atomic<int> x{0};
  for (int i = 0; i < 24; ++i)
    backends.emplace_back(
        "i-" + std::to_string(i), "s", i % 2 ? "sofia-a" : "sofia-b", Address(10 + i), 0,
        [&](Backend& b, const Message& r, Connection& c) {
          const auto id = r.Header("heatherspan-request-id");
          {
            const std::lock_guard l(m);
            ++ran[id];
          }
          std::mt19937 g(++x);
          Sleep(0.02 + (g() % 10 == 0 ? (g() % 1500) / 1000.0 : (g() % 150) / 1000.0));
          std::string body = "<" + id + ">";
          if (g() % 5 == 0) body += std::string(g() % 400000, 'z');
          return c.Send(b.Success(r, body));
        });
  store.Put("op/config", Config(1, {{"r", "safe", "s", 6, 0.8}, {"w", "unsafe", "s", 6, 0.8}}));
  for (auto& b : backends) store.Put("servers/" + b.name(), b.Entry());
  int lost = 0, twice = 0, promised = 0, total = 0;
  for (int k = 0; k < rounds; ++k) {
    Gateway g(folder.path(), "edge-1", "sofia-a", "sofia", Address(2), door.server->Text(), {});
    g.Start();
    if (!g.WaitReady(10)) {
      puts("not ready");
      return 2;
    }
    Sleep(1);
    std::atomic<bool> over{false};
    std::list<std::thread> threads;
    std::map<std::string, int> st;
    std::atomic<double> term{0};
    const auto began = Clock::now();
    std::atomic<int> n{0};
    for (int t = 0; t < 60; ++t)
      threads.emplace_back([&, t] {
        std::mt19937 rg(k * 1000 + t);
        std::unique_ptr<Connection> c;
        Sleep((rg() % 1000) / 1000.0);
        while (!over) {
          const auto id = "k" + std::to_string(k) + "q" + std::to_string(++n);
          const bool safe = rg() % 2;
          if (!c || c->ClosedWithin(0)) c = Connection::Open(g.address(), Gateway::kCallers);
          if (!c) {
            const std::lock_guard l(m);
            ++st["noconn"];
            return;
          }
          c->Send(safe ? RequestText("GET", "/r/" + id, id, 8000)
                       : RequestText("POST", "/w/" + id, id, 8000, std::string(rg() % 3000, 'b')));
          auto a = c->Read(9);
          std::string what = a ? a->Word(1) : "none";
          {
            const std::lock_guard l(m);
            ++st[what];
            ++total;
            if (!a && ran[id]) {
              ++lost;
              printf("lost %s at %.2f\n", id.c_str(), SecondsSince(began));
            }
            if (!safe && ran[id] > 1) ++twice;
            if (!safe && what == "503" && ran[id]) ++promised;
          }
          if (!a || a->Header("connection") == "close") c.reset();
          Sleep((rg() % 400) / 1000.0);
        }
      });
    Sleep(2.5);
    g.Signal(SIGTERM);
    for (int i = 0; i < 80 && !g.Ended(); ++i) Sleep(0.1);
    const double took = SecondsSince(began) - 2.5;
    over = true;
    for (auto& t : threads) t.join();
    printf("round %d stop took %.1f:", k, took);
    for (auto& [a, b] : st) printf(" %s %d", a.c_str(), b);
    puts("");
  }
  printf("total %d lost %d twice %d promised %d\n", total, lost, twice, promised);
  for (auto& b : backends) b.Stop();
}
