#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/profile/catalogue.h"
#include "cornelrelay/profile/change.h"
#include "cornelrelay/profile/edit_outcome.h"
#include "cornelrelay/profile/editor_options.h"
#include "cornelrelay/profile/store_messages.h"

namespace cornelrelay::profile {

struct EditorTick {
  friend auto operator<=>(const EditorTick&, const EditorTick&) = default;
};

/// \brief The first tick starts the edit.
using EditorEvent = std::variant<EditorTick, CatalogueKeyRead, CatalogueKeySwapped,
                                 CatalogueKeyNotSwapped, StoreCallFailed>;

/// \brief The edit ended; sent once, and no action follows it.
struct EditFinished {
  EditOutcome outcome;
};

using EditorAction = std::variant<ReadCatalogueKey, SwapCatalogueKey, EditFinished>;

/// \brief Makes one change to the catalogue in the store: read, then compare-and-swap.
///
/// A write without an answer is settled by reading the key back and looking for the change id.
/// While the key still has the expected revision, the same bytes are written again on the same
/// revision: of all these writes at most one can take effect, and any answer to one of them settles
/// the rest.
///
/// \code
/// CatalogueEditor editor(request, options);
/// for (const auto& action : editor.Step(now, EditorTick{})) Run(action);
/// \endcode
class CatalogueEditor {
 public:
  enum class State {
    kIdle,
    kReading,
    kSwapping,
    kSettling,
    kWaitingToRead,
    kWaitingToSwap,
    kWaitingToSettle,
    kFinished
  };

  CatalogueEditor(ChangeRequest request, const EditorOptions& options,
                  EditorFault fault = EditorFault::kNone);

  std::vector<EditorAction> Step(core::Instant now, const EditorEvent& event);

  /// \brief The next moment at which an EditorTick can change something.
  std::optional<core::Instant> NextWake() const;

  State state() const { return m_state; }
  const ChangeRequest& request() const { return m_request; }
  /// \brief True while a write, also one of an earlier editor, may have taken effect or may do so.
  bool Unsettled() const { return m_unsettled; }

 private:
  using Actions = std::vector<EditorAction>;

  void Tick(core::Instant now, Actions& out);
  void Prepare(const std::optional<KeyContent>& content, Actions& out);
  void Settle(const std::optional<KeyContent>& content, Actions& out);
  void OnAnswer(const CatalogueKeyRead& event, Actions& out);
  void OnAnswer(const CatalogueKeySwapped& event, Actions& out);
  void OnAnswer(const CatalogueKeyNotSwapped& event, Actions& out);
  void OnFailure(core::Instant now, const StoreCallFailed& event, Actions& out);
  void Read(State state, Actions& out);
  void Swap(Actions& out);
  void Finish(EditOutcome outcome, Actions& out);
  void FinishUnknown(Actions& out);
  void FinishMalformed(const MalformedCatalogue& error, Actions& out);
  /// \brief Ends an edit that the key's value rules out: conflict, or unknown outcome.
  void FinishSuperseded(const Catalogue& current, Actions& out);

  ChangeRequest m_request;
  EditorOptions m_options;
  EditorFault m_fault;
  State m_state = State::kIdle;
  core::Instant m_deadline{};
  core::Instant m_retry_at{};
  CallNumber m_call = 0;
  KeyRevision m_expected = 0;
  CatalogueRevision m_next = 1;  ///< revision of the catalogue that is written
  std::string m_bytes;
  bool m_unsettled = false;
};

std::string_view ToString(CatalogueEditor::State state);

}  // namespace cornelrelay::profile
