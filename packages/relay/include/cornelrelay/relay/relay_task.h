#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cornelrelay/dispatch/stall_detector.h"
#include "cornelrelay/driver/request_driver.h"
#include "cornelrelay/net/response_stream.h"
#include "cornelrelay/quarantine/request_features.h"
#include "cornelrelay/relay/relay_services.h"
#include "cornelrelay/relay/relay_writer.h"
#include "cornelrelay/relay/request_record.h"
#include "cornelrelay/relay/routed_request.h"
#include "cornelrelay/relay/upstream_call.h"
#include "cornelrelay/relay/upstream_place.h"

namespace cornelrelay::relay {

/// \brief Runs the attempts of one caller's request and writes the response. Used on platforms that
/// provide their own upstream registrations and configuration.
class RelayTask : public driver::RequestDriver {
 public:
  /// \param internal_id unique across all processes and restarts; prefix of the attempt ids
  RelayTask(RelayServices& services, RoutedRequest routed, core::RequestId internal_id,
            net::ResponseStream& response);

  /// \brief Returns when the response has been written.
  boost::asio::awaitable<void> Run();

  /// \brief Ends the request if it has given no output and requests like it are now held back.
  void EndIfQuarantined();

  /// \brief Ends the request if it waits for an upstream and the process stops too soon for it.
  void EndIfUnstartable();

 private:
  std::size_t pending() const override { return m_writer.pending(); }
  boost::asio::awaitable<void> WriteAnswer() override { return m_writer.Flush(); }
  core::Instant NextWake() const override;
  void OnEventsProcessed() override;

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

  void OnDecision(const ServiceDispatchers::Decision& decision);
  /// \brief Refuses the request if it may not run now. Returns whether it did.
  bool RefuseIfQuarantined();
  /// \brief Refuses the request if it was not sent yet and would be cut off by the shutdown.
  /// Returns whether it did.
  bool RefuseIfStopping();
  /// \brief Expected time of the request on its upstream.
  core::Duration ExpectedTime() const;
  void DecideRetry();
  /// \brief Has the upstream of a lost attempt examined before a retry is decided.
  void ExamineLostAttempt(const core::UpstreamId& upstream);
  void RecordOutput();
  /// \brief Passes on what the head of the answer says of the upstream itself.
  void RecordHead();
  dispatch::AttemptEnd AttemptEndOf(const request::RecordAttempt& action) const;
  std::optional<dispatch::ServiceActivity> CurrentActivity() const;
  /// \brief Whether another attempt may take the place of the one in flight.
  bool MayReplaceAttempt() const;
  /// \brief Seeks a place on another upstream if the attempt has been silent for too long.
  void SeekPlaceIfStalled();
  /// \brief Gives up the stalled attempt for the place that is now held, if a retry is granted.
  void ReplaceAttempt();
  void DropNextPlace();
  /// \brief Notes why it is unknown whether the attempt has run.
  void RecordUnknownCause(request::AttemptResult result);
  /// \brief Logs and counts an answer that does not say whether the request has run.
  /// \param answer the status, or `cut` for a connection that is closed inside the answer
  /// \param ended_by why the request ended
  void ReportUnknownOutcome(const std::string& answer, std::string_view ended_by);
  std::unique_ptr<UpstreamPlace> MakePlace();

  RelayServices& m_services;
  RoutedRequest m_routed;
  core::RequestId m_internal_id;
  quarantine::RequestFeatures m_features;
  RelayWriter m_writer;
  std::unique_ptr<UpstreamPlace> m_place;  ///< while an upstream is chosen or works on the request
  /// Sought while a stalled attempt goes on. Any output of the attempt drops it.
  std::unique_ptr<UpstreamPlace> m_next_place;
  std::optional<dispatch::Assigned> m_next_assigned;  ///< once m_next_place is held
  bool m_replacing = false;                           ///< a retry is granted for m_next_place
  std::uint64_t m_places = 0;
  std::shared_ptr<UpstreamCall> m_call;
  std::shared_ptr<UpstreamCall> m_failed_call;  ///< call that received the last error response
  std::uint64_t m_upstream_incarnation = 0;     ///< of the upstream of m_call
  std::set<core::UpstreamId> m_tried;
  request::AttemptResult m_last_result = request::AttemptResult::kCancelled;
  std::optional<std::string> m_unknown_cause;    ///< of the last attempt that may have run
  std::optional<std::uint64_t> m_last_event_id;  ///< of the stream, as far as it was forwarded
  bool m_examining = false;      ///< it is not known yet whether the upstream has crashed
  bool m_retry_waiting = false;  ///< a retry is decided once it is known
  dispatch::StallDetector m_stall_detector;
  RequestRecord m_record;
};

}  // namespace cornelrelay::relay
