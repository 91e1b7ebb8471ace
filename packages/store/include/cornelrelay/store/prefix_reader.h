#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/store/backoff.h"
#include "cornelrelay/store/item_change.h"
#include "cornelrelay/store/store_reply.h"
#include "cornelrelay/store/store_request.h"

namespace cornelrelay::store {

struct PrefixReaderOptions {
  /// How long the store holds a watch without a change. A silent loss of the connection shows no
  /// sooner than this.
  core::Duration watch_wait = std::chrono::milliseconds(1'900);
  /// Least time between two watches. Each watch costs a call, and in a burst of changes, as when
  /// many processes register, it would end at each of them. The first change of a burst does not
  /// wait.
  core::Duration watch_spacing = std::chrono::milliseconds(400);
  core::Duration retry_base = std::chrono::milliseconds(100);
  core::Duration retry_ceiling = std::chrono::seconds(1);
  /// Used instead of retry_ceiling after SetSlowRetries().
  core::Duration slow_retry_ceiling = std::chrono::seconds(6);
};

/// \brief The reader wants this call made and its reply passed to OnReply().
struct CallStore {
  StoreRequest request;
};
/// \brief All items with the prefix as of a version of the store.
struct ItemsRead {
  std::vector<ItemChange> items;
  StoreVersion version;
};
/// \brief What changed up to a version of the store, in the era of the items read before.
struct ItemsChanged {
  std::vector<ItemChange> changes;
  StoreVersion version;
};
struct StoreLinkLost {
  std::string_view reason;  ///< kind of the reply that showed it
};
struct StoreLinkRegained {
  core::Duration outage{};
};
using PrefixReaderAction =
    std::variant<CallStore, ItemsRead, ItemsChanged, StoreLinkLost, StoreLinkRegained>;

/// \brief Keeps a copy of the items with a prefix: reads all pages, then follows the changes.
///
/// After lost history, an outage or a restore of the store it reads all again, because changes may
/// have been missed. A watch that breaks once is repeated from the last revision.
///
/// \code
/// PrefixReader reader("servers/", options, seed);
/// Run(reader.Start(now));
/// Run(reader.OnReply(now, reply));
/// Run(reader.OnTick(now));  // at NextWake()
/// \endcode
class PrefixReader {
 public:
  using Actions = std::vector<PrefixReaderAction>;

  PrefixReader(std::string prefix, const PrefixReaderOptions& options, std::uint64_t seed);

  Actions Start(core::Instant now);
  Actions OnReply(core::Instant now, const StoreReply& reply);
  Actions OnTick(core::Instant now);

  /// \brief Makes no further calls once all pages have been read, until Resume().
  void Pause();
  /// \brief Follows the changes after a version up to which they are known from elsewhere; reads
  /// all if `known` is the default.
  Actions Resume(core::Instant now, StoreVersion known);
  /// \brief Sets whether calls are repeated only rarely after a failure.
  void SetSlowRetries(bool slow) { m_slow_retries = slow; }

  std::optional<core::Instant> NextWake() const {
    return WaitsForResume() ? std::nullopt : m_retry_at;
  }
  /// \brief Returns whether the store answers this reader. False while it is paused.
  bool linked() const { return m_linked && !m_paused; }
  /// \brief When the store last answered.
  core::Instant last_answer() const { return m_last_answer; }

 private:
  bool WaitsForResume() const { return m_paused && m_read; }
  void ReadPage(Actions& out);
  void Watch(core::Instant now, Actions& out);
  void ReadAll(Actions& out);
  void OnPage(core::Instant now, const PrefixRead& page, Actions& out);
  void OnChanges(core::Instant now, const PrefixChanged& changes, Actions& out);
  void OnFailure(core::Instant now, const StoreReply& reply, Actions& out);
  void NoteAnswer(core::Instant now, Actions& out);

  std::string m_prefix;
  PrefixReaderOptions m_options;
  Backoff m_backoff;
  Backoff m_slow_backoff;
  bool m_slow_retries = false;
  bool m_paused = false;
  bool m_calling = false;  ///< a reply is awaited
  bool m_read = false;     ///< all pages have been read at least once
  bool m_watching = false;
  bool m_linked = true;
  std::uint32_t m_failures = 0;
  StoreVersion m_version;  ///< changes up to it are known; during a read, of its first page
  std::vector<ItemChange> m_items;  ///< pages read so far
  std::string m_after_key;
  std::optional<core::Instant> m_retry_at;  ///< or when the next watch may begin
  core::Instant m_watched_at{};             ///< begin of the last watch
  core::Instant m_last_answer{};
};

}  // namespace cornelrelay::store
