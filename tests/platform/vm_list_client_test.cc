#include "platform/vm_list_client.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace heatherspan {
namespace {

using testing::HasSubstr;

TEST(VmListClient, ReadsRolesAndStates) {
  const auto vms = VmListClient::Parse(R"({"vms":[
      {"name":"entry-1","zone":"sofia-a","role":"entry","state":"live","address":"127.0.0.1:7"},
      {"name":"ledger-1","zone":"varna-b","role":"target","state":"leaving","address":"127.0.0.1:8"}
  ]})");
  ASSERT_TRUE(vms.ok()) << vms.status();
  ASSERT_EQ(vms->size(), 2U);
  EXPECT_EQ((*vms)[0], (VmEntry{.name = "entry-1",
                                .zone = ZoneName("sofia-a"),
                                .role = VmEntry::Role::kEntry,
                                .state = VmEntry::State::kLive,
                                .endpoint = {"127.0.0.1", 7}}));
  EXPECT_EQ((*vms)[1].role, VmEntry::Role::kTarget);
  EXPECT_EQ((*vms)[1].state, VmEntry::State::kLeaving);
}

// A list with an entry that can't be read is refused as a whole: a partial list would look as if
// VMs had gone.
TEST(VmListClient, RefusesMalformedLists) {
  constexpr const char* kLive =
      R"({"vms":[{"name":"e","zone":"z","role":"entry","state":"live","address":"127.0.0.1"}]})";
  constexpr const char* kGone =
      R"({"vms":[{"name":"e","zone":"z","role":"entry","state":"gone","address":"127.0.0.1:7"}]})";
  EXPECT_THAT(VmListClient::Parse(kLive).status().ToString(), HasSubstr("IP:PORT"));
  EXPECT_THAT(VmListClient::Parse(kGone).status().ToString(), HasSubstr("entry 0: expected state"));
  EXPECT_FALSE(VmListClient::Parse("[]").ok());
  EXPECT_FALSE(VmListClient::Parse(R"({"vms":[1]})").ok());
  EXPECT_FALSE(VmListClient::Parse("").ok());
}

}  // namespace
}  // namespace heatherspan
