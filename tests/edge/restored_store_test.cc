#include "edge_node_fixture.h"

namespace heatherspan {
namespace {

/// A store that comes back from an older copy of itself.
class RestoredStoreTest : public EdgeNodeFixture {
 protected:
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

}  // namespace
}  // namespace heatherspan
