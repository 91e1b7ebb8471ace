#include "cornelrelay/entry/catalogue_store.h"

#include <optional>
#include <variant>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::entry {
namespace {

std::optional<profile::KeyContent> ToContent(const std::optional<store::StoredValue>& value) {
  if (!value) return std::nullopt;
  return profile::KeyContent{value->value, value->revision};
}

profile::StoreCallFailed Failure(profile::CallNumber call, const store::StoreReply& reply) {
  profile::StoreCallFailed failed;
  failed.call = call;
  failed.outcome_unknown = std::holds_alternative<store::TimedOut>(reply);
  if (const auto* refused = std::get_if<store::RefusedForRate>(&reply)) {
    failed.retry_after = refused->retry_after;
  } else if (const auto* unavailable = std::get_if<store::Unavailable>(&reply)) {
    failed.retry_after = unavailable->retry_after;
  }
  return failed;
}

}  // namespace

profile::ReplicaEvent ToReplicaEvent(profile::CallNumber call, const store::StoreReply& reply) {
  using profile::ReplicaEvent;
  return std::visit(
      core::Overloaded{
          [&](const store::ValueRead& read) {
            return ReplicaEvent(profile::CatalogueKeyRead{call, ToContent(read.current)});
          },
          [&](const store::WatchEvent& changed) {
            profile::CatalogueKeyChanged event;
            event.call = call;
            if (changed.current) event.bytes = changed.current->value;
            event.revision = changed.revision;
            return ReplicaEvent(event);
          },
          [&](const auto&) { return ReplicaEvent(Failure(call, reply)); }},
      reply);
}

profile::EditorEvent ToEditorEvent(profile::CallNumber call, const store::StoreReply& reply) {
  using profile::EditorEvent;
  return std::visit(
      core::Overloaded{
          [&](const store::ValueRead& read) {
            return EditorEvent(profile::CatalogueKeyRead{call, ToContent(read.current)});
          },
          [&](const store::Swapped&) { return EditorEvent(profile::CatalogueKeySwapped{call}); },
          [&](const store::NotSwapped& other) {
            return EditorEvent(profile::CatalogueKeyNotSwapped{call, ToContent(other.current)});
          },
          [&](const auto&) { return EditorEvent(Failure(call, reply)); }},
      reply);
}

}  // namespace cornelrelay::entry
