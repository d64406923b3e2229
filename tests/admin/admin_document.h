#pragma once

#include "document/document_reader.h"
#include "document/sha256.h"
#include "fmt/format.h"

namespace heatherspan {

/// A sound document with two teams, each with a credential (the team's name) and one service with
/// one target.
inline auto AdminDocumentText(int cap_rps = 100) -> std::string {
  auto text = fmt::format(
      "environment = \"test\"\n"
      "[[region]]\nname = \"north\"\ncap_rps = {}\n"
      "[[region.zone]]\nname = \"north-1\"\n",
      cap_rps);
  int port = 9000;
  for (const auto* team : {"red", "blue"}) {
    text += fmt::format(
        "[[team]]\nname = \"{0}\"\ncredential_sha256 = \"{1}\"\n"
        "[[service]]\nname = \"{0}-desk\"\nteam = \"{0}\"\n"
        "[[service.target]]\nname = \"{0}-1\"\nzone = \"north-1\"\naddress = \"127.0.0.1:{2}\"\n",
        team, Sha256Hex(team), ++port);
  }
  return text;
}

inline auto AdminDocument() -> Document {
  return ReadDocument(AdminDocumentText(), "document").value();
}

}  // namespace heatherspan
