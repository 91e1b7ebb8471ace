#include "cornelrelay/entry/catalogue_store.h"

#include <optional>
#include <variant>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::entry {
namespace {

std::optional<profile::KeyContent> ToContent(const std::optional<platform::StoredValue>& value) {
  if (!value) return std::nullopt;
  return profile::KeyContent{value->value, value->revision};
}

profile::StoreCallFailed Failure(profile::CallNumber call, const platform::StoreReply& reply) {
  profile::StoreCallFailed failed;
  failed.call = call;
  failed.outcome_unknown = std::holds_alternative<platform::TimedOut>(reply);
  if (const auto* refused = std::get_if<platform::RefusedForRate>(&reply)) {
    failed.retry_after = refused->retry_after;
  } else if (const auto* unavailable = std::get_if<platform::Unavailable>(&reply)) {
    failed.retry_after = unavailable->retry_after;
  }
  return failed;
}

}  // namespace

profile::ReplicaEvent ToReplicaEvent(profile::CallNumber call, const platform::StoreReply& reply) {
  using profile::ReplicaEvent;
  return std::visit(
      core::Overloaded{
          [&](const platform::ValueRead& read) {
            return ReplicaEvent(profile::CatalogueKeyRead{call, ToContent(read.current)});
          },
          [&](const platform::WatchEvent& changed) {
            profile::CatalogueKeyChanged event;
            event.call = call;
            if (changed.current) event.bytes = changed.current->value;
            event.revision = changed.revision;
            return ReplicaEvent(event);
          },
          [&](const auto&) { return ReplicaEvent(Failure(call, reply)); }},
      reply);
}

profile::EditorEvent ToEditorEvent(profile::CallNumber call, const platform::StoreReply& reply) {
  using profile::EditorEvent;
  return std::visit(
      core::Overloaded{
          [&](const platform::ValueRead& read) {
            return EditorEvent(profile::CatalogueKeyRead{call, ToContent(read.current)});
          },
          [&](const platform::Swapped&) { return EditorEvent(profile::CatalogueKeySwapped{call}); },
          [&](const platform::NotSwapped& other) {
            return EditorEvent(profile::CatalogueKeyNotSwapped{call, ToContent(other.current)});
          },
          [&](const auto&) { return EditorEvent(Failure(call, reply)); }},
      reply);
}

}  // namespace cornelrelay::entry
