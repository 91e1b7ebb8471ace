#pragma once

#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/limits/caller_memory.h"
#include "cornelrelay/net/caller_limit.h"

namespace cornelrelay::net::internal {

/// \brief What the registry may do to a session.
class SessionControl {
 public:
  using Clock = std::chrono::steady_clock;

  virtual ~SessionControl() = default;
  virtual void Close() = 0;
  virtual bool Busy() const = 0;
  /// \brief Whether a request has begun to arrive and is incomplete.
  virtual bool Reading() const = 0;
  /// \brief Time of the last byte of a request, or of the end of the last response.
  virtual Clock::time_point last_progress() const = 0;
  virtual const boost::asio::ip::address& address() const = 0;
  /// \brief Refuses the request that is being read and frees its memory.
  virtual void EndRequest() = 0;
};

/// \brief The open sessions of one server, and the memory that they hold; sessions add and remove
/// themselves.
class SessionRegistry {
 public:
  explicit SessionRegistry(CallerHooks hooks) : m_hooks(std::move(hooks)), m_memory({}) {}

  limits::CallerConnectionId Add(SessionControl* session) {
    m_sessions.insert(session);
    m_by_id[++m_last_id] = session;
    return m_last_id;
  }
  void Remove(SessionControl* session, limits::CallerConnectionId id) {
    m_sessions.erase(session);
    m_by_id.erase(id);
    m_memory.Step(Now(), limits::ReleaseBytes{id});
  }
  std::size_t size() const { return m_sessions.size(); }
  bool draining() const { return m_draining; }
  const CallerHooks& hooks() const { return m_hooks; }

  void SetMemoryLimits(const limits::CallerMemoryLimits& limits) { m_memory.SetLimits(limits); }

  /// \brief Reserves this many bytes in all for the connection; may end other ones for it.
  bool Hold(limits::CallerConnectionId id, limits::CallerBytes kind, std::size_t bytes) {
    bool held = false;
    for (const auto& action : m_memory.Step(Now(), limits::HoldBytes{id, kind, bytes})) {
      if (const auto* ended = std::get_if<limits::EndConnection>(&action)) {
        const auto session = m_by_id.find(ended->connection);
        if (session != m_by_id.end()) session->second->EndRequest();
      }
      held = std::holds_alternative<limits::BytesHeld>(action);
    }
    return held;
  }
  void NoteArrived(limits::CallerConnectionId id) {
    m_memory.Step(Now(), limits::BytesArrived{id});
  }
  void NoteComplete(limits::CallerConnectionId id) {
    m_memory.Step(Now(), limits::RequestComplete{id});
  }
  void Release(limits::CallerConnectionId id) { m_memory.Step(Now(), limits::ReleaseBytes{id}); }

  void Note(CallerLimit limit) const {
    if (m_hooks.on_limit) m_hooks.on_limit(limit);
  }

  std::size_t CountOf(const boost::asio::ip::address& address) const {
    std::size_t count = 0;
    for (const auto* session : m_sessions) count += session->address() == address ? 1 : 0;
    return count;
  }

  /// \brief Closes the connection that is idle for longest, or else the one whose request makes no
  /// progress for longest. Returns whether there was one.
  bool CloseForNewConnection() {
    if (CloseOldest([](const SessionControl& s) { return !s.Busy(); })) {
      Note(CallerLimit::kIdleReplaced);
      return true;
    }
    const auto stalled_since = SessionControl::Clock::now() - kStallTime;
    if (CloseOldest([stalled_since](const SessionControl& s) {
          return s.Reading() && s.last_progress() <= stalled_since;
        })) {
      Note(CallerLimit::kStalledReplaced);
      return true;
    }
    return false;
  }

  std::size_t active_exchanges() const {
    std::size_t count = 0;
    for (const auto* session : m_sessions) count += session->Busy() ? 1 : 0;
    return count;
  }

  void SetDraining() { m_draining = true; }

  void CloseIdle() {
    CloseIf([](const SessionControl& session) { return !session.Busy(); });
  }

  void CloseAll() {
    CloseIf([](const SessionControl&) { return true; });
  }

 private:
  using Condition = std::function<bool(const SessionControl&)>;

  /// Far longer than the pauses of a caller that is sending, such as a retransmission.
  static constexpr std::chrono::milliseconds kStallTime{500};

  static core::Instant Now() {
    return core::Instant(std::chrono::duration_cast<core::Duration>(
        SessionControl::Clock::now().time_since_epoch()));
  }

  bool CloseOldest(const Condition& condition) {
    SessionControl* oldest = nullptr;
    for (auto* session : m_sessions) {
      if (oldest != nullptr && oldest->last_progress() <= session->last_progress()) continue;
      if (condition(*session)) oldest = session;
    }
    if (oldest == nullptr) return false;
    // Its descriptor is free at once; its coroutine ends later.
    m_sessions.erase(oldest);
    oldest->Close();
    return true;
  }

  // Works on a copy, because a closing session may remove itself.
  void CloseIf(const Condition& condition) {
    const std::vector<SessionControl*> sessions(m_sessions.begin(), m_sessions.end());
    for (auto* session : sessions) {
      if (condition(*session)) session->Close();
    }
  }

  CallerHooks m_hooks;
  limits::CallerMemory m_memory;
  std::set<SessionControl*> m_sessions;
  std::map<limits::CallerConnectionId, SessionControl*> m_by_id;
  limits::CallerConnectionId m_last_id = 0;
  bool m_draining = false;
};

}  // namespace cornelrelay::net::internal
