#include "cornelrelay/profile/catalogue_editor.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/profile/apply_change.h"
#include "cornelrelay/profile/catalogue_codec.h"

namespace cornelrelay::profile {
namespace {

Catalogue CatalogueIn(const std::optional<KeyContent>& content) {
  return content ? DecodeCatalogue(content->bytes) : Catalogue::Initial();
}

/// \brief The changed catalogue, or why the edit cannot be made.
std::variant<Catalogue, EditOutcome> TryApply(const Catalogue& base, const ChangeRequest& request) {
  using Result = std::variant<Catalogue, EditOutcome>;
  try {
    return ApplyChange(base, request);
  } catch (const UnknownProfile& e) {
    return Result(EditOutcome(e));
  } catch (const ProfileExists& e) {
    return Result(EditOutcome(e));
  } catch (const ProfileInUse& e) {
    return Result(EditOutcome(e));
  } catch (const DefaultProfileInUse& e) {
    return Result(EditOutcome(e));
  } catch (const InvalidEdit& e) {
    return Result(EditOutcome(e));
  } catch (const CatalogueTooLarge& e) {
    return Result(EditOutcome(e));
  }
}

}  // namespace

CatalogueEditor::CatalogueEditor(ChangeRequest request, const EditorOptions& options,
                                 EditorFault fault)
    : m_request(std::move(request)),
      m_options(options),
      m_fault(fault),
      m_unsettled(m_request.sent_again) {
  if (m_request.seen) m_next = *m_request.seen + 1;
}

std::vector<EditorAction> CatalogueEditor::Step(core::Instant now, const EditorEvent& event) {
  Actions out;
  if (m_state == State::kFinished) return out;
  std::visit(core::Overloaded{[](const EditorTick&) {},
                              [&](const StoreCallFailed& e) { OnFailure(now, e, out); },
                              [&](const auto& e) { OnAnswer(e, out); }},
             event);
  Tick(now, out);
  return out;
}

std::optional<core::Instant> CatalogueEditor::NextWake() const {
  switch (m_state) {
    case State::kIdle:
    case State::kFinished:
      return std::nullopt;
    case State::kWaitingToRead:
    case State::kWaitingToSwap:
    case State::kWaitingToSettle:
      return std::min(m_retry_at, m_deadline);
    case State::kReading:
    case State::kSwapping:
    case State::kSettling:
      break;
  }
  return m_deadline;
}

void CatalogueEditor::Tick(core::Instant now, Actions& out) {
  if (m_state == State::kFinished) return;
  if (m_state == State::kIdle) {
    m_deadline = now + m_options.time_limit;
    Read(State::kReading, out);
    return;
  }
  if (now >= m_deadline) {
    if (m_unsettled || m_state == State::kSwapping) {
      FinishUnknown(out);
    } else {
      Finish(StoreUnavailable(), out);
    }
    return;
  }
  if (now < m_retry_at) return;
  if (m_state == State::kWaitingToRead) Read(State::kReading, out);
  if (m_state == State::kWaitingToSettle) Read(State::kSettling, out);
  if (m_state == State::kWaitingToSwap) Swap(out);
}

void CatalogueEditor::Prepare(const std::optional<KeyContent>& content, Actions& out) {
  try {
    const Catalogue base = CatalogueIn(content);
    // The operator sends a change again after an unknown outcome; it must not be made twice.
    if (base.Contains(m_request.id)) {
      Finish(EditApplied{base.RevisionOf(m_request.id)}, out);
      return;
    }
    if (m_request.seen && *m_request.seen != base.revision()) {
      FinishSuperseded(base, out);
      return;
    }
    auto result = TryApply(base, m_request);
    if (auto* outcome = std::get_if<EditOutcome>(&result)) {
      Finish(std::move(*outcome), out);
      return;
    }
    const auto& next = std::get<Catalogue>(result);
    m_next = next.revision();
    m_bytes = EncodeCatalogue(next);
    m_expected = content ? content->revision : 0;
    Swap(out);
  } catch (const MalformedCatalogue& e) {
    FinishMalformed(e, out);
  }
}

void CatalogueEditor::Settle(const std::optional<KeyContent>& content, Actions& out) {
  const KeyRevision revision = content ? content->revision : 0;
  if (revision == m_expected) {
    Swap(out);
    return;
  }
  // The key has moved past the expected revision, so no write of this edit can take effect later.
  try {
    const Catalogue current = CatalogueIn(content);
    if (current.Contains(m_request.id)) {
      Finish(EditApplied{current.RevisionOf(m_request.id)}, out);
    } else {
      FinishSuperseded(current, out);
    }
  } catch (const MalformedCatalogue& e) {
    FinishMalformed(e, out);
  }
}

void CatalogueEditor::OnAnswer(const CatalogueKeyRead& event, Actions& out) {
  if (event.call != m_call) return;
  if (m_state == State::kReading) {
    Prepare(event.content, out);
  } else if (m_state == State::kSettling) {
    Settle(event.content, out);
  }
}

void CatalogueEditor::OnAnswer(const CatalogueKeySwapped& event, Actions& out) {
  if (event.call != m_call || m_state != State::kSwapping) return;
  Finish(EditApplied{m_next}, out);
}

void CatalogueEditor::OnAnswer(const CatalogueKeyNotSwapped& event, Actions& out) {
  if (event.call != m_call || m_state != State::kSwapping) return;
  if (m_fault == EditorFault::kIgnoreSwapRevision) {
    m_expected = event.current ? event.current->revision : 0;
    Swap(out);
    return;
  }
  Settle(event.current, out);
}

void CatalogueEditor::OnFailure(core::Instant now, const StoreCallFailed& event, Actions& out) {
  if (event.call != m_call) return;
  // A long outage must not keep the editor from using its last second.
  m_retry_at = now + std::clamp(event.retry_after, m_options.retry_delay,
                                std::max(m_options.retry_delay, m_options.time_limit / 8));
  switch (m_state) {
    case State::kReading:
      m_state = State::kWaitingToRead;
      break;
    case State::kSettling:
      m_state = State::kWaitingToSettle;
      break;
    case State::kSwapping:
      if (event.outcome_unknown && m_fault == EditorFault::kSkipReadBack) {
        Finish(StoreUnavailable(), out);
        return;
      }
      if (event.outcome_unknown) m_unsettled = true;
      m_state = m_unsettled ? State::kWaitingToSettle : State::kWaitingToSwap;
      break;
    default:
      break;
  }
}

void CatalogueEditor::Read(State state, Actions& out) {
  assert(state == State::kReading || state == State::kSettling);
  m_state = state;
  out.emplace_back(ReadCatalogueKey{++m_call});
}

void CatalogueEditor::Swap(Actions& out) {
  assert(!m_bytes.empty());
  m_state = State::kSwapping;
  out.emplace_back(SwapCatalogueKey{++m_call, m_expected, m_bytes});
}

void CatalogueEditor::FinishSuperseded(const Catalogue& current, Actions& out) {
  // The change may have been made and its id may have left the list since. A lower revision means
  // that the key was deleted or overwritten, which hides what was there.
  const bool hidden =
      current.revision() < m_next || current.revision() - m_next >= Catalogue::kChangeIdLimit;
  if (m_unsettled && hidden) {
    FinishUnknown(out);
    return;
  }
  Finish(CatalogueConflict(m_request, current.revision(), current.ChangesAfter(m_next - 1)), out);
}

void CatalogueEditor::FinishMalformed(const MalformedCatalogue& error, Actions& out) {
  if (m_unsettled) {
    FinishUnknown(out);
  } else {
    Finish(error, out);
  }
}

void CatalogueEditor::FinishUnknown(Actions& out) {
  Finish(OutcomeUnknown(m_request.id, m_next - 1), out);
}

void CatalogueEditor::Finish(EditOutcome outcome, Actions& out) {
  m_state = State::kFinished;
  out.emplace_back(EditFinished{std::move(outcome)});
}

std::string_view ToString(CatalogueEditor::State state) {
  constexpr std::array<std::string_view, 8> kNames = {"idle",
                                                      "reading",
                                                      "swapping",
                                                      "settling",
                                                      "waiting_to_read",
                                                      "waiting_to_swap",
                                                      "waiting_to_settle",
                                                      "finished"};
  return kNames.at(static_cast<std::size_t>(state));
}

}  // namespace cornelrelay::profile
