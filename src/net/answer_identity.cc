#include "net/answer_identity.h"

namespace heatherspan {

auto AnswerIdentityText(AnswerIdentity identity) -> std::string_view {
  switch (identity) {
    case AnswerIdentity::kNoAnswer:
      return "no-answer";
    case AnswerIdentity::kThisRequest:
      return "this";
    case AnswerIdentity::kOtherRequest:
      return "other";
    case AnswerIdentity::kUnnamed:
      return "none";
  }
  return "no-answer";
}

}  // namespace heatherspan
