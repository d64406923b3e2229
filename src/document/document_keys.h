#pragma once

#include "document/document.h"
#include "toml_table/key_table.h"

namespace heatherspan {

auto DocumentKeys() -> const KeyTable<Document>&;
auto ObjectivesKeys() -> const KeyTable<Objectives>&;
auto RegionKeys() -> const KeyTable<Region>&;
auto ZoneKeys() -> const KeyTable<Zone>&;
auto LinkKeys() -> const KeyTable<Link>&;
auto TeamKeys() -> const KeyTable<Team>&;
auto ServiceKeys() -> const KeyTable<Service>&;
auto TargetKeys() -> const KeyTable<Target>&;
auto DrainKeys() -> const KeyTable<Drain>&;
auto ClientKeys() -> const KeyTable<ClientBlock>&;

/// Calls the visitor for every section, in the order in which documents are written. `Single` gets
/// one record, `List` a vector of records, and `ListWithChildren` a vector whose records own a
/// vector of children.
template <class Doc, class Visitor>
auto VisitSections(Doc& document, Visitor& visitor) -> void {
  const auto zones = [](auto& region) -> auto& { return region.zones; };
  const auto targets = [](auto& service) -> auto& { return service.targets; };
  visitor.Single("document", DocumentKeys(), document);
  visitor.Single("objectives", ObjectivesKeys(), document.objectives);
  visitor.ListWithChildren("region", RegionKeys(), document.regions, "zone", ZoneKeys(), zones);
  visitor.List("link", LinkKeys(), document.links);
  visitor.List("team", TeamKeys(), document.teams);
  visitor.ListWithChildren("service", ServiceKeys(), document.services, "target", TargetKeys(),
                           targets);
  visitor.List("drain", DrainKeys(), document.drains);
  visitor.List("client", ClientKeys(), document.clients);
}

}  // namespace heatherspan
