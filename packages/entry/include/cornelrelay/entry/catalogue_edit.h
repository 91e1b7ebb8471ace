#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "cornelrelay/profile/catalogue_editor.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/store_link.h"
#include "cornelrelay/runtime/wake_timer.h"

namespace cornelrelay::entry {

/// \brief Runs one CatalogueEditor against the store and reports its outcome once.
///
/// \code
/// CatalogueEdit::Start(context, clock, store, request, [](const profile::EditOutcome& o) { ... });
/// \endcode
class CatalogueEdit : public std::enable_shared_from_this<CatalogueEdit> {
 public:
  using OutcomeHandler = std::function<void(const profile::EditOutcome&)>;

  static void Start(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                    runtime::StoreLink& store, profile::ChangeRequest request,
                    OutcomeHandler on_outcome);

 private:
  CatalogueEdit(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                runtime::StoreLink& store, profile::ChangeRequest request,
                OutcomeHandler on_outcome);

  void Step(const profile::EditorEvent& event);
  void Perform(const profile::ReadCatalogueKey& action);
  void Perform(const profile::SwapCatalogueKey& action);
  void Perform(const profile::EditFinished& action);

  const runtime::ProcessClock& m_clock;
  runtime::StoreLink& m_store;
  profile::CatalogueEditor m_editor;
  OutcomeHandler m_on_outcome;
  runtime::WakeTimer m_timer;
  std::shared_ptr<CatalogueEdit> m_self;  ///< keeps the edit alive until its outcome
};

}  // namespace cornelrelay::entry
