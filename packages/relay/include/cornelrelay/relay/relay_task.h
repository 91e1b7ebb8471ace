#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

#include "cornelrelay/dispatch/stall_detector.h"
#include "cornelrelay/driver/request_driver.h"
#include "cornelrelay/net/response_stream.h"
#include "cornelrelay/relay/relay_order.h"
#include "cornelrelay/relay/relay_services.h"
#include "cornelrelay/relay/relay_writer.h"
#include "cornelrelay/relay/request_record.h"
#include "cornelrelay/relay/upstream_call.h"

namespace cornelrelay::relay {

/// \brief Serves one caller's request on a platform that has its own directory and configuration.
class RelayTask : public driver::RequestDriver {
 public:
  /// \param internal_id unique over all processes and restarts; prefix of the attempt ids
  RelayTask(RelayServices& services, RelayOrder order, core::RequestId internal_id,
            net::ResponseStream& response);

  boost::asio::awaitable<void> Run();

 private:
  std::size_t pending() const override { return m_writer.pending(); }
  boost::asio::awaitable<void> WriteAnswer() override { return m_writer.Flush(); }
  core::Instant NextWake() const override;
  void OnTurn() override { GiveUpIfSilent(); }

  void Perform(const request::AcquireAdmission& action) override;
  void Perform(const request::ChooseUpstream& action) override;
  void Perform(const request::AcquireRetryToken& action) override;
  void Perform(const request::OpenAttempt& action) override;
  void Perform(const request::CancelAttempt& action) override;
  void Perform(const request::ForwardChunk& action) override;
  void Perform(const request::FinishAnswer& action) override;
  void Perform(const request::ForwardErrorResponse& action) override;
  void Perform(const request::SendError& action) override;
  void Perform(const request::RecordAttempt& action) override;
  void Perform(const request::RecordOutcome& action) override;

  void OnDecision(const DispatchHub::Decision& decision);
  void NoteOutput();
  dispatch::AttemptEnd EndOf(const request::RecordAttempt& action) const;
  std::optional<dispatch::ServiceActivity> Pace() const;
  bool MayRepeat() const;
  void GiveUpIfSilent();

  RelayServices& m_services;
  RelayOrder m_order;
  core::RequestId m_internal_id;
  RelayWriter m_writer;
  std::shared_ptr<UpstreamCall> m_call;
  std::shared_ptr<UpstreamCall> m_failed_call;  ///< holds the last failed answer
  request::AttemptResult m_last_result = request::AttemptResult::kCancelled;
  dispatch::StallDetector m_silence;
  RequestRecord m_record;
};

}  // namespace cornelrelay::relay
