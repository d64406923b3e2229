// A machine starts while the platform's store comes back from an older copy. Does it follow the
// store from then on, also once the other machine has left? (CONFIG)
#include "../common/standins.hpp"

using namespace review;

namespace {

/// Both machines are in another region than the store: 35 ms each way, and 4 ms for an answer.
constexpr int kWayMs = 74;
constexpr double kAway = 2;
constexpr double kStable = 4;
constexpr double kApply = 2.5;
constexpr double kAfterChange = 14;

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 2) return 2;
  const bool trouble = WithTrouble();
  Folder folder;
  Record record(argv[1]);
  record.Say(std::string("disruption: ") + (trouble ? "on" : "off"));
  Store store;
  auto& door_a = store.AddDoor(Address(1));
  auto& door_b = store.AddDoor(Address(4));
  for (auto* door : {&door_a, &door_b}) door->manner.delay_ms = kWayMs;
  std::mutex mutex;
  std::map<std::string, std::string> run_by;  ///< Services by request id.
  std::list<Backend> backends;
  const auto work = [&](Backend& backend, const Message& request, Connection& caller) {
    const auto id = request.Header("heatherspan-request-id");
    record.Line("run " + id + " at " + backend.service());
    {
      const std::lock_guard lock(mutex);
      run_by[id] = backend.service();
    }
    Sleep(0.1);
    return caller.Send(backend.Success(request, "answer to " + id));
  };
  for (int i = 0; i < 8; ++i) {
    backends.emplace_back("i-" + std::to_string(i), i < 4 ? "dispatch" : "archive",
                          i % 2 == 0 ? "plovdiv-a" : "plovdiv-b", Address(10 + i), 0, work);
  }
  store.Put("op/config", Config(1, {{"fitting", "unsafe", "dispatch", 2, 0.5},
                                    {"history", "safe", "archive", 12, 2.5}}));
  for (const auto& backend : backends) store.Put("servers/" + backend.name(), backend.Entry());
  Gateway first(folder.path(), "edge-b", "plovdiv-b", "plovdiv", Address(3), door_b.server->Text(),
                {Address(2)});
  Gateway second(folder.path(), "edge-a", "plovdiv-a", "plovdiv", Address(2), door_a.server->Text(),
                 {Address(3)});
  first.Start();
  if (!first.WaitReady(10)) return 2;
  Sleep(3);
  store.Save();
  Sleep(2);

  // The drill: the store is away for a moment (503), and back from a copy that is 2 s old. The
  // second machine starts meanwhile; its first call comes just before the store is back.
  if (trouble) {
    for (auto* door : {&door_a, &door_b}) door->manner.busy = true;
    store.Restore();
    record.Say("the store is away, and will be back from an older copy");
    Sleep(kAway);
  }
  second.Start();
  if (trouble) {
    Sleep(std::atof(std::getenv("SWEEP_MS")) / 1000);
    for (auto* door : {&door_a, &door_b}) door->manner.busy = false;
    record.Say("the store is back");
  }
  if (!second.WaitReady(10) || !first.WaitReady(10)) return 2;
  Sleep(6);
  const int r0 = door_a.manner.reads;
  Sleep(4);
  printf("sweep %s reads %d then %d\n", std::getenv("SWEEP_MS"), r0, door_a.manner.reads - r0);
  second.Kill();
  first.Kill();
  for (auto& backend : backends) backend.Stop();
  return 0;
  Sleep(kStable + 1);
  record.Say("both machines are ready; the first one is stopped and leaves");
  first.Signal(SIGTERM);
  for (int i = 0; i < 70 && !first.Ended(); ++i) Sleep(0.1);
  first.Kill();
  Sleep(kStable + 1);

  const int reads_before = door_a.manner.reads;
  store.Put("op/config", Config(2, {{"fitting", "unsafe", "archive", 2, 0.5},
                                    {"history", "safe", "archive", 12, 2.5}}));
  const auto changed = Clock::now();
  record.Say("version r2 is acknowledged: fitting goes to archive");
  int sent = 0;
  int served = 0;
  std::vector<std::string> bound;
  while (SecondsSince(changed) < kAfterChange) {
    const auto id = "f" + std::to_string(++sent);
    const double at = SecondsSince(changed);
    const auto connection = Connection::Open(second.address(), Gateway::kCallers);
    record.Line("send " + id);
    std::string status = "none";
    if (connection != nullptr &&
        connection->Send(RequestText("PUT", "/fitting/" + id, id, 3000, "booking"))) {
      if (const auto answer = connection->Read(3)) status = answer->Word(1);
    }
    record.Line("answer " + id + " " + status);
    if (status == "200") ++served;
    if (at > kApply) bound.push_back(id);
    Sleep(0.1);
  }
  const bool running = !second.Ended();
  second.Kill();
  for (auto& backend : backends) backend.Stop();
  int old = 0;
  for (const auto& id : bound) old += run_by[id] == "dispatch" ? 1 : 0;
  record.Say("requests " + std::to_string(sent) + ", served " + std::to_string(served) +
             ", sent later than apply_s after the acknowledgement " + std::to_string(bound.size()) +
             ", of these run by the old service " + std::to_string(old) +
             "; listings and watches that the machine asked the store for since its start " +
             std::to_string(door_a.manner.reads) + ", since the acknowledgement " +
             std::to_string(door_a.manner.reads - reads_before));
  if (!running || served < sent * 9 / 10) {
    record.Say("the case could not run");
    return 2;
  }
  record.Say(old > 0 ? "CONFIG is broken" : "CONFIG holds");
  return old > 0 ? 1 : 0;
}
