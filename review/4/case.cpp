// A machine starts as the platform's store comes back from an older copy. Does it follow the store
// from then on, also once the other machines have left? (CONFIG)
#include "standins.hpp"

using namespace review;

namespace {

/// The machines are in another region than the store: 35 ms each way, and 4 ms for an answer.
constexpr int kWayMs = 74;
constexpr double kAway = 2;
/// How long the store turns the started machine away (platform_down of nodes, on the site 9 s).
constexpr double kTurnedAway = 0.15;
constexpr double kStable = 4;
constexpr double kApply = 2.5;
constexpr double kAfterChange = 9;

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 2) return 2;
  const bool trouble = WithTrouble();
  Folder folder;
  Record record(argv[1]);
  record.Say(std::string("disruption: ") + (trouble ? "on" : "off"));
  Store store;
  auto& door_a = store.AddDoor(Address(1));
  const std::vector<Store::Door*> doors = {&door_a, &store.AddDoor(Address(5)),
                                           &store.AddDoor(Address(6))};
  for (auto* door : doors) door->manner.delay_ms = kWayMs;
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
  std::list<Gateway> others;
  for (int i = 0; i < 2; ++i) {
    others.emplace_back(folder.path(), "edge-" + std::to_string(i), "plovdiv-b", "plovdiv",
                        Address(3 + i), doors[i + 1]->server->Text(),
                        std::vector<std::string>{Address(2), Address(3), Address(4)});
  }
  Gateway second(folder.path(), "edge-a", "plovdiv-a", "plovdiv", Address(2), door_a.server->Text(),
                 {Address(3), Address(4)});
  for (auto& gateway : others) gateway.Start();
  for (auto& gateway : others) {
    if (!gateway.WaitReady(10)) return 2;
  }
  Sleep(3);
  store.Save();
  Sleep(2);

  // The drill: the store is away for a moment, and back from a copy that is 2 s old. As it comes
  // back a machine starts, which the store turns away for a moment longer while it serves the
  // others.
  if (trouble) {
    store.Restore();
    for (auto* door : doors) door->manner.reset = true;
    record.Say("the store is away, and will be back from an older copy");
    Sleep(kAway);
    door_a.manner.busy = true;
    for (auto* door : doors) door->manner.reset = false;
    record.Say("the store is back, and turns one of three machines away");
  }
  second.Start();
  if (trouble) {
    Sleep(kTurnedAway);
    door_a.manner.busy = false;
    record.Say("the store serves all machines");
  }
  if (!second.WaitReady(10)) return 2;
  Sleep(kStable + 1);
  for (auto& gateway : others) {
    record.Say("planned: " + gateway.name() + " is stopped with SIGTERM and leaves");
    gateway.Signal(SIGTERM);
    for (int i = 0; i < 70 && !gateway.Ended(); ++i) Sleep(0.1);
    gateway.Kill();
  }
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
