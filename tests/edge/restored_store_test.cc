#include "edge_node_fixture.h"

namespace heatherspan {
namespace {

/// A store that comes back from an older copy of itself.
class RestoredStoreTest : public EdgeNodeFixture {
 protected:
  /// The copy is applied at the node.
  auto Restore() -> bool {
    store_.Restore();
    return Eventually([&] { return log_capture_.Contains("event=store-era-applied"); });
  }

  auto Applies(int version) -> bool {
    return Eventually([&] {
      return Get(settings_.metrics, "/metrics")
                 .body.find("heatherspan_config_version " + std::to_string(version)) !=
             std::string::npos;
    });
  }
};

// Guards against a configuration that is not in force because its revision was used before the
// store came back from a copy.
TEST_F(RestoredStoreTest, AppliesAConfigurationWhoseRevisionWasUsedBefore) {
  store_.Put("op/config", Policy(3));
  Start();
  store_.Save();
  store_.Put("op/config", Policy(5));
  store_.Put("op/config", Policy(7));
  ASSERT_TRUE(Applies(7));
  store_.Restore();
  store_.Put("op/config", Policy(9));
  EXPECT_TRUE(Applies(9));
}

// Guards against requests to a target that said that it leaves in the seconds that the store has
// lost: the copy shows it as ready.
TEST_F(RestoredStoreTest, SendsNothingToATargetThatLeavesInTheLostSeconds) {
  TargetStub target("i-1");
  store_.Put("op/config", Policy(3));
  Register(target);
  Start();
  store_.Save();
  EXPECT_EQ(Send("/read/1").response.status, 200);
  Register(target, "draining");
  ASSERT_TRUE(Eventually([&] { return Send("/read/2").response.status == 503; }));
  const auto before = target.Requests().size();
  ASSERT_TRUE(Restore());
  EXPECT_EQ(Send("/read/3").response.status, 503);
  EXPECT_EQ(target.Requests().size(), before);
}

// Guards against requests to a target that left in the seconds that the store has lost, and against
// a target that stays out of use although it has registered again.
TEST_F(RestoredStoreTest, SendsNothingToATargetThatLeftInTheLostSeconds) {
  TargetStub target("i-1");
  store_.Put("op/config", Policy(3));
  Register(target);
  Start();
  store_.Save();
  EXPECT_EQ(Send("/read/1").response.status, 200);
  store_.Remove("servers/i-1");
  ASSERT_TRUE(Eventually([&] { return Send("/read/2").response.status == 503; }));
  const auto before = target.Requests().size();
  ASSERT_TRUE(Restore());
  EXPECT_EQ(Send("/read/3").response.status, 503);
  EXPECT_EQ(target.Requests().size(), before);
  Register(target);
  EXPECT_TRUE(Eventually([&] { return Send("/read/4").response.status == 200; }));
}

// Guards against requests to a zone whose evacuation was ordered in the seconds that the store has
// lost. The operator orders it again.
TEST_F(RestoredStoreTest, AnEvacuationOutlivesTheRestore) {
  TargetStub target("i-1");
  store_.Put("op/config", Policy(3));
  Register(target);
  Start();
  store_.Save();
  store_.Put("op/evacuate/a", "{}");
  ASSERT_TRUE(Eventually([&] { return Send("/read/1").response.status == 503; }));
  const auto before = target.Requests().size();
  ASSERT_TRUE(Restore());
  EXPECT_EQ(Send("/read/2").response.status, 503);
  store_.Put("op/evacuate/a", "{}");
  EXPECT_EQ(Send("/read/3").response.status, 503);
  EXPECT_EQ(target.Requests().size(), before);
  EXPECT_FALSE(log_capture_.Contains("zone=a evacuated=0"));
  store_.Remove("op/evacuate/a");
  EXPECT_TRUE(Eventually([&] { return Send("/read/4").response.status == 200; }));
}

// Guards against an evacuation that is in force again although the operator has ended it, and
// against one that is kept for good although nobody orders it again.
TEST_F(RestoredStoreTest, TheEndOfAnEvacuationOutlivesTheRestore) {
  TargetStub target("i-1");
  store_.Put("op/config", Policy(3));
  Register(target);
  store_.Put("op/evacuate/a", "{}");
  Start();
  store_.Save();
  EXPECT_EQ(Send("/read/1").response.status, 503);
  store_.Remove("op/evacuate/a");
  ASSERT_TRUE(Eventually([&] { return Send("/read/2").response.status == 200; }));
  ASSERT_TRUE(Restore());
  EXPECT_EQ(Send("/read/3").response.status, 200);
}

// Guards against an evacuation that stays in force although the copy lacks it and nobody orders it
// again.
TEST_F(RestoredStoreTest, AnEvacuationThatNobodyOrdersAgainEnds) {
  TargetStub target("i-1");
  store_.Put("op/config", Policy(3));
  Register(target);
  Start();
  store_.Save();
  store_.Put("op/evacuate/a", "{}");
  ASSERT_TRUE(Eventually([&] { return Send("/read/1").response.status == 503; }));
  ASSERT_TRUE(Restore());
  EXPECT_TRUE(Eventually([&] { return Send("/read/2").response.status == 200; }));
}

}  // namespace
}  // namespace heatherspan
