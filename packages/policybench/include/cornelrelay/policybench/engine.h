#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <map>

#include "cornelrelay/policybench/event_loop.h"
#include "cornelrelay/policybench/job.h"

namespace cornelrelay::policybench {

/// \brief Callbacks of an engine to the entry process of an attempt.
struct EngineListener {
  std::function<void(core::Instant)> first_token{};
  std::function<void(core::Instant, double)> progress{};
  std::function<void(core::Instant)> finished{};
};

/// \brief A continuous-batching replica: bounded slots, one prefill at a time, parallel decoding,
/// prefix cache (LRU).
class Engine {
 public:
  struct Config {
    std::size_t slots = 64;
    double prefill_us = 80;
    double token_us = 25000;
    double cache_tokens = 1e6;
  };

  Engine(EventLoop& loop, Config config) : m_loop(loop), m_config(config) {}

  void Submit(core::Instant now, const Job& job, EngineListener listener);

  /// \brief Multiplies all times of work that starts from now on.
  void SetSlowness(double slowness) { m_slowness = slowness; }

  std::size_t outstanding() const { return m_waiting.size() + m_running; }
  double pending_work() const { return m_pending_work; }
  double hit_tokens() const { return m_hit_tokens; }
  double prompt_tokens() const { return m_prompt_tokens; }

 private:
  struct Item {
    Job job;
    EngineListener listener;
    double expected_work = 0;
  };
  struct Cached {
    double tokens = 0;
    std::list<std::size_t>::iterator used{};
  };

  void Admit(core::Instant now);
  void Prefill(core::Instant now);
  void Step(core::Instant now, const Item& item, double done);
  double Hit(const Job& job) const;
  double TakeHit(const Job& job);
  void Store(const Job& job);

  EventLoop& m_loop;
  Config m_config;
  double m_slowness = 1;
  std::deque<Item> m_waiting;  // for a slot
  std::deque<Item> m_prefill;  // in a slot, before the first token
  bool m_prefilling = false;
  std::size_t m_running = 0;
  double m_pending_work = 0;
  double m_hit_tokens = 0;
  double m_prompt_tokens = 0;
  std::map<std::size_t, Cached> m_cache;
  std::list<std::size_t> m_cache_order;  // most recent first
  double m_cache_used = 0;
};

}  // namespace cornelrelay::policybench
