#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "cornelrelay/net/response_stream.h"
#include "cornelrelay/relay/relay_order.h"
#include "cornelrelay/relay/relay_services.h"
#include "cornelrelay/relay/relay_writer.h"
#include "cornelrelay/relay/upstream_call.h"
#include "cornelrelay/request/request_machine.h"

namespace cornelrelay::relay {

/// \brief Serves one caller's request: runs its RequestMachine and performs the actions.
class RelayTask {
 public:
  /// \param internal_id unique over all processes and restarts; prefix of the attempt ids
  RelayTask(RelayServices& services, RelayOrder order, core::RequestId internal_id,
            net::ResponseStream& response);
  ~RelayTask();
  RelayTask(const RelayTask&) = delete;
  RelayTask& operator=(const RelayTask&) = delete;

  boost::asio::awaitable<void> Run();

  /// \brief The limit of a graceful shutdown has passed.
  void EndForShutdown();

 private:
  void Step(const request::RequestEvent& event);
  void Perform(const request::AskAdmission& action);
  void Perform(const request::RequestClaim& action);
  void Perform(const request::ChooseReplica& action);
  void Perform(const request::AskRetryToken& action);
  void Perform(const request::OpenAttempt& action);
  void Perform(const request::CancelAttempt& action);
  void Perform(const request::ForwardChunk& action);
  void Perform(const request::FinishAnswer& action);
  void Perform(const request::ForwardFailure& action);
  void Perform(const request::SendError& action);
  void Perform(const request::FinishClaim& action);
  void Perform(const request::RecordAttempt& action);
  void Perform(const request::RecordOutcome& action);

  void OnDecision(const DispatchHub::Decision& decision);
  void NoteOutput();
  dispatch::AttemptEnd EndOf(const request::RecordAttempt& action) const;
  /// \brief When a silent attempt may be given up; never where it may not be repeated.
  core::Instant SilenceCheckAt() const;
  void GiveUpIfSilent();
  core::Duration SilenceLimit() const;
  void LogOutcome(const request::RecordOutcome& action);
  boost::asio::awaitable<void> Flush();

  RelayServices& m_services;
  RelayOrder m_order;
  core::RequestId m_internal_id;
  net::ResponseStream& m_response;
  RelayWriter m_writer;
  std::shared_ptr<RequestMailbox> m_mailbox;
  request::RequestMachine m_machine;
  std::shared_ptr<UpstreamCall> m_call;
  std::shared_ptr<UpstreamCall> m_failed_call;  ///< holds the last failed answer
  request::AttemptResult m_last_result = request::AttemptResult::kCancelled;
  std::optional<core::Instant> m_sent_at;
  std::optional<core::Instant> m_first_output;
  core::Instant m_last_output{};
  core::Instant m_silence_checked{};
  core::Duration m_waited{};
  std::string m_tried;  ///< upstreams with their results, for the log
  std::optional<request::RecordOutcome> m_outcome;
};

}  // namespace cornelrelay::relay
