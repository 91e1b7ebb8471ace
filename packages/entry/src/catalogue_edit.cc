#include "cornelrelay/entry/catalogue_edit.h"

#include <utility>
#include <variant>

#include "cornelrelay/entry/catalogue_store.h"

namespace cornelrelay::entry {

void CatalogueEdit::Start(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                          runtime::StoreLink& store, profile::ChangeRequest request,
                          OutcomeHandler on_outcome) {
  const std::shared_ptr<CatalogueEdit> edit(
      new CatalogueEdit(context, clock, store, std::move(request), std::move(on_outcome)));
  edit->m_self = edit;
  edit->Step(profile::EditorTick{});
}

CatalogueEdit::CatalogueEdit(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                             runtime::StoreLink& store, profile::ChangeRequest request,
                             OutcomeHandler on_outcome)
    : m_clock(clock),
      m_store(store),
      m_editor(std::move(request), profile::EditorOptions{}),
      m_on_outcome(std::move(on_outcome)),
      m_timer(context, clock, [this] { Step(profile::EditorTick{}); }) {}

void CatalogueEdit::Step(const profile::EditorEvent& event) {
  const auto alive = shared_from_this();
  for (const auto& action : m_editor.Step(m_clock.Now(), event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
  if (const auto wake = m_editor.NextWake(); wake && m_self) m_timer.SetAt(*wake);
}

void CatalogueEdit::Perform(const profile::ReadCatalogueKey& action) {
  m_store.Call(store::Get{profile::kCatalogueKey},
               [edit = shared_from_this(), call = action.call](const store::StoreReply& reply) {
                 edit->Step(ToEditorEvent(call, reply));
               });
}

void CatalogueEdit::Perform(const profile::SwapCatalogueKey& action) {
  store::CompareAndSwap swap;
  swap.key = profile::kCatalogueKey;
  swap.expected = action.expected;
  swap.value = action.bytes;
  m_store.Call(std::move(swap),
               [edit = shared_from_this(), call = action.call](const store::StoreReply& reply) {
                 edit->Step(ToEditorEvent(call, reply));
               });
}

void CatalogueEdit::Perform(const profile::EditFinished& action) {
  m_timer.Cancel();
  m_on_outcome(action.outcome);
  m_self.reset();
}

}  // namespace cornelrelay::entry
