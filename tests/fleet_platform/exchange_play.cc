#include "exchange_play.h"

#include "fmt/format.h"

namespace heatherspan {

auto AllPrevious() -> const std::vector<Previous>& {
  static const std::vector<Previous> all{{"nothing", std::nullopt},
                                         {"served", kServed},
                                         {"shed", kShed},
                                         {"shed named", kShedNamed},
                                         {"misdirected", kMisdirected},
                                         {"misdirected named", kMisdirectedNamed}};
  return all;
}

auto AllScripts() -> const std::vector<Script>& {
  static const std::vector<Script> all{
      {"serves", Read::kAll, true, Form::kWhole, kServed},
      {"serves without length", Read::kAll, true, Form::kUnframed, kServed},
      {"serves after 1xx", Read::kAll, true, Form::kInformational, kServed},
      {"serves from the head", Read::kHead, true, Form::kWhole, kServed},
      {"serves, half a head", Read::kAll, true, Form::kHalfHead, kServed},
      {"serves, half a body", Read::kAll, true, Form::kHalfBody, kServed},
      {"serves unsigned", Read::kAll, true, Form::kWhole, {200, "I", AttemptOutcome::kLost}},
      {"fails", Read::kAll, true, Form::kWhole, {500, "IS", AttemptOutcome::kFailed}},
      {"runs, 503", Read::kAll, true, Form::kWhole, {503, "IS", AttemptOutcome::kFailed}},
      {"runs, 408", Read::kAll, true, Form::kWhole, {408, "IS", AttemptOutcome::kFailed}},
      {"runs, 429", Read::kAll, true, Form::kWhole, {429, "IS", AttemptOutcome::kFailed}},
      {"runs, 421", Read::kAll, true, Form::kWhole, {421, "IS", AttemptOutcome::kFailed}},
      {"runs, unsigned 503", Read::kAll, true, Form::kWhole, {503, "I", AttemptOutcome::kFailed}},
      {"runs, unsigned 408", Read::kAll, true, Form::kWhole, {408, "I", AttemptOutcome::kLost}},
      {"runs, unsigned 429", Read::kAll, true, Form::kWhole, {429, "I", AttemptOutcome::kLost}},
      {"sheds", Read::kAll, false, Form::kWhole, kShed},
      {"sheds named", Read::kAll, false, Form::kWhole, kShedNamed},
      {"sheds from the head", Read::kHead, false, Form::kWhole, kShed},
      {"sheds named from the head", Read::kHead, false, Form::kWhole, kShedNamed},
      {"sheds named, half a body", Read::kAll, false, Form::kHalfBody, kShedNamed},
      {"misdirected", Read::kAll, false, Form::kWhole, kMisdirected},
      {"misdirected named", Read::kAll, false, Form::kWhole, kMisdirectedNamed},
      {"runs, no answer", Read::kAll, true, Form::kNone, kSilence},
      {"runs from the head, no answer", Read::kHead, true, Form::kNone, kSilence},
      {"reads the head only", Read::kHead, false, Form::kNone, kSilence},
      {"reads a byte only", Read::kFirstByte, false, Form::kNone, kSilence},
      {"reads nothing", Read::kNothing, false, Form::kNone, kSilence}};
  return all;
}

auto BodyFor(std::string_view id) -> std::string { return fmt::format("answer to {}", id); }
auto SignatureFor(std::string_view id) -> std::string { return fmt::format("s-{}", id); }

auto AnswerText(const Answer& answer, std::string_view id, bool framed) -> std::string {
  const auto body = BodyFor(id);
  auto text = fmt::format("HTTP/1.1 {} Any Reason\r\n", answer.status);
  for (const char field : answer.fields) {
    if (field == 'I') text += fmt::format("Heatherspan-Request-Id: {}\r\n", id);
    if (field == 'S')
      text += fmt::format("Heatherspan-Response-Signature: {}\r\n", SignatureFor(id));
    if (field == 'N') text += "Heatherspan-Not-Executed: 1\r\nRetry-After: 0.25\r\n";
  }
  if (framed) text += fmt::format("Content-Length: {}\r\n", body.size());
  return text + "\r\n" + body;
}

auto AnswerText(const Script& script, std::string_view id) -> std::string {
  if (script.form == Form::kNone) return "";
  auto text = AnswerText(script.answer, id, script.form != Form::kUnframed);
  if (script.form == Form::kInformational) {
    return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + text;
  }
  if (script.form == Form::kHalfHead) return text.substr(0, text.find("Content-Length"));
  if (script.form == Form::kHalfBody) return text.substr(0, text.size() - 3);
  return text;
}

auto Play::Name() const -> std::string {
  return fmt::format("after {}: {}, large {}, extra {} at {}, end {}, stop {} at {}, cut {}",
                     previous.name, script.name, large, static_cast<int>(extra),
                     static_cast<int>(when), static_cast<int>(end), static_cast<int>(stop),
                     static_cast<int>(stop_at), cut);
}

auto Play::IsPossible() const -> bool {
  const bool used = previous.answer.has_value();
  const bool partial = script.read == Read::kHead || script.read == Read::kFirstByte;
  if (large ? script.read == Read::kNothing : partial) return false;
  if ((extra == Extra::kNone) != (when == When::kNever)) return false;
  if (extra == Extra::kCopyOfOwn && when < When::kWithOwn) return false;
  // Extra bytes follow a complete answer.
  if (extra != Extra::kNone && !used && when < When::kWithOwn) return false;
  // The client may take the answer for the rest of the copy, and wait for another one.
  if (extra == Extra::kHalfCopy && when < When::kWithOwn && end == End::kKeep) return false;
  if (!used && (extra == Extra::kCopyOfPrevious || extra == Extra::kHalfCopy)) return false;
  if (when >= When::kWithOwn && (script.form != Form::kWhole || end == End::kReset)) {
    return false;
  }
  if (when == When::kAfterOwn && (end != End::kKeep || stop != Stop::kNone)) {
    return false;
  }
  // A large request costs time: only where its order of events differs from that of a small one.
  if (large && script.read == Read::kAll && script.name != "serves" && script.name != "sheds" &&
      script.name != "sheds named") {
    return false;
  }
  if (large && when != When::kNever && when != When::kFirstByte && when != When::kHead) {
    return false;
  }
  if (when == When::kHead && !large) return false;
  if (script.read < Read::kHead && when >= When::kHead) return false;
  if (script.read == Read::kNothing && (end != End::kReset || when >= When::kFirstByte)) {
    return false;
  }
  if (stop == Stop::kNone) {
    return end != End::kKeep || (script.form != Form::kNone && IsAnswered());
  }
  if (stop_at == When::kWithOwn && script.form == Form::kNone) return false;
  if (script.read < Read::kHead && stop_at >= When::kHead) return false;
  if (stop == Stop::kDeadline && stop_at != When::kWithOwn) {
    return end == End::kKeep && !IsAnswered();
  }
  return stop_at != When::kHead || large;
}

auto Play::IsAnswered() const -> bool {
  const auto form = script.form;
  return form == Form::kWhole || form == Form::kInformational ||
         (form == Form::kUnframed && end == End::kFin);
}

auto Play::ExtraBytes() const -> std::string {
  switch (extra) {
    case Extra::kNone:
      return "";
    case Extra::kCopyOfPrevious:
      return AnswerText(*previous.answer, "previous");
    case Extra::kHalfCopy: {
      const auto whole = AnswerText(*previous.answer, "previous");
      return whole.substr(0, cut > 0 ? cut : whole.size() / 2);
    }
    case Extra::kShed:
      return AnswerText(kShed, "another");
    case Extra::kGarbage:
      return "garbage\r\n\r\n";
    case Extra::kCopyOfOwn:
      return AnswerText(script, "this");
  }
  return "";
}

}  // namespace heatherspan
