#include "document/document_diff.h"

#include <gmock/gmock.h>

#include "document_fixture.h"

namespace heatherspan {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

TEST(DiffDocuments, ListsAddedRemovedAndChangedRecords) {
  const auto before = Example("stranokrak");
  auto after = before;
  after.base_fraction = 0.4;
  after.regions[0].cap = RequestsPerSecond(900);
  after.regions[1].zones[0].entry_vms_max = 3;
  after.links[0].capacity = MegabitsPerSecond(300);
  after.services[1].value = 9;
  after.services[1].shift_percent = 15;
  after.services[3].targets.pop_back();
  after.drains.push_back({DrainScope::kEntryVm, "entry-3", "kernel"});
  after.clients.erase(after.clients.begin());
  EXPECT_THAT(DiffDocuments(before, after),
              ElementsAre("changed document: base_fraction 0.5 -> 0.4",
                          "changed region sofia: cap_rps 1200 -> 900",
                          "changed zone plovdiv-1: entry_vms_max 2 -> 3",
                          "changed link sofia,plovdiv: mbit_s 280 -> 300",
                          "changed service ledger: value 8 -> 9, shift_percent 10 -> 15",
                          "removed target archive-12", "added drain entry-vm entry-3",
                          "removed client 10.1.0.0/18"));
  EXPECT_THAT(DiffDocuments(after, after), IsEmpty());
}

}  // namespace
}  // namespace heatherspan
