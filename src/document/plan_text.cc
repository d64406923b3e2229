#include "document/plan_text.h"

#include "fmt/format.h"

namespace heatherspan {

auto PlanLines(const Plan& plan) -> std::vector<std::string> {
  std::vector<std::string> lines;
  for (const auto& error : plan.errors) lines.push_back("fault: " + error);
  for (const auto& warning : plan.warnings) lines.push_back("warning: " + warning);
  for (const auto& note : plan.notes) lines.push_back("note: " + note);
  for (const auto& region : plan.regions) {
    lines.push_back(fmt::format(
        "region {}: cap {:g} -> {:g} requests/s, planned load {:.0f}, headroom {:.0f}, without one "
        "entry VM {:.0f}, without one zone {:.0f}, without the region {:.0f}",
        region.region.value(), region.cap_before.value(), region.cap_after.value(),
        region.load.value(), region.headroom.value(), region.headroom_without_entry_vm.value(),
        region.headroom_without_zone.value(), region.headroom_without_region.value()));
  }
  for (const auto& service : plan.services) {
    lines.push_back(fmt::format(
        "service {} in {}: slots {} -> {}, planned load {:.0f} requests/s, headroom {:.0f}, "
        "without "
        "one zone {:.0f}, without the region {:.0f}",
        service.service.value(), service.region.value(), service.slots_before, service.slots_after,
        service.load.value(), service.headroom.value(), service.headroom_without_zone.value(),
        service.headroom_without_region.value()));
  }
  for (const auto& link : plan.links) {
    const auto lost = link.lost.empty() ? std::string("with every region")
                                        : fmt::format("without {}", link.lost.value());
    lines.push_back(fmt::format("link {} -> {} {}: {:.1f} of {:.1f} Mbit/s", link.from.value(),
                                link.to.value(), lost, link.used.value(), link.usable.value()));
  }
  return lines;
}

}  // namespace heatherspan
