#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <vector>

namespace cornelrelay::net::internal {

/// \brief What the registry may do to a session.
class SessionControl {
 public:
  virtual ~SessionControl() = default;
  virtual void Close() = 0;
  virtual bool Busy() const = 0;
};

/// \brief The open sessions of one server; sessions add and remove themselves.
class SessionRegistry {
 public:
  void Add(SessionControl* session) { m_sessions.insert(session); }
  void Remove(SessionControl* session) { m_sessions.erase(session); }
  std::size_t size() const { return m_sessions.size(); }
  bool draining() const { return m_draining; }

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
  // Works on a copy, because a closing session may remove itself.
  void CloseIf(const std::function<bool(const SessionControl&)>& condition) {
    const std::vector<SessionControl*> sessions(m_sessions.begin(), m_sessions.end());
    for (auto* session : sessions) {
      if (condition(*session)) session->Close();
    }
  }

  std::set<SessionControl*> m_sessions;
  bool m_draining = false;
};

}  // namespace cornelrelay::net::internal
