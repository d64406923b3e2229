#pragma once

#include <nlohmann/json.hpp>

#include "config/manifest.h"
#include "document/plan.h"

namespace heatherspan {

auto PlanJson(const Plan& plan) -> nlohmann::ordered_json;
auto ManifestJson(const Manifest& manifest) -> nlohmann::ordered_json;

}  // namespace heatherspan
