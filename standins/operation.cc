#include "standins/operation.h"

namespace heatherspan {

auto OutcomeText(Outcome outcome) -> const char* {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kRefused:
      return "refused";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kWrong:
      return "wrong";
  }
  return "wrong";
}

}  // namespace heatherspan
