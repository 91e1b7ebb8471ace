#include "cornelrelay/policybench/engine.h"

#include <algorithm>
#include <utility>

namespace cornelrelay::policybench {

namespace {

// Tokens after which the entry process looks at the rate of a stream.
constexpr double kProgressStep = 16;

core::Duration Micros(double micros) {
  return core::Duration(static_cast<core::Duration::rep>(micros));
}

}  // namespace

void Engine::Submit(core::Instant now, const Job& job, EngineListener listener) {
  // The report counts what the cache saves as the engine sees it on arrival.
  const double expected = job.prompt - Hit(job);
  m_waiting.push_back({job, std::move(listener), expected});
  m_pending_work += expected;
  Admit(now);
}

void Engine::Admit(core::Instant now) {
  while (m_running < m_config.slots && !m_waiting.empty()) {
    ++m_running;
    m_prefill.push_back(std::move(m_waiting.front()));
    m_waiting.pop_front();
  }
  Prefill(now);
}

void Engine::Prefill(core::Instant now) {
  if (m_prefilling || m_prefill.empty()) return;
  m_prefilling = true;
  const Job& job = m_prefill.front().job;
  const double hit = TakeHit(job);
  m_prompt_tokens += job.prompt;
  m_hit_tokens += hit;
  m_loop.At(now + Micros((job.prompt - hit) * m_config.prefill_us * m_slowness),
            [this](core::Instant at) {
              const Item item = std::move(m_prefill.front());
              m_prefill.pop_front();
              m_prefilling = false;
              m_pending_work -= item.expected_work;
              Store(item.job);
              Prefill(at);
              item.listener.first_token(at);
              Step(at, item, 0);
            });
}

void Engine::Step(core::Instant now, const Item& item, double done) {
  const double tokens = std::min(kProgressStep, item.job.output - done);
  m_loop.At(now + Micros(tokens * m_config.token_us * m_slowness),
            [this, item, done, tokens](core::Instant at) {
              if (done + tokens < item.job.output) {
                // Later progress is left out: one rate sample per stream is enough, and the run
                // stays fast.
                if (done == 0) item.listener.progress(at, tokens);
                Step(at, item, done + tokens);
                return;
              }
              --m_running;
              item.listener.finished(at);
              Admit(at);
            });
}

double Engine::Hit(const Job& job) const {
  const auto found = m_cache.find(job.conversation);
  return found == m_cache.end() ? 0 : std::min(found->second.tokens, job.prefix);
}

double Engine::TakeHit(const Job& job) {
  const auto found = m_cache.find(job.conversation);
  if (found == m_cache.end()) return 0;
  m_cache_order.splice(m_cache_order.begin(), m_cache_order, found->second.used);
  return std::min(found->second.tokens, job.prefix);
}

void Engine::Store(const Job& job) {
  // The answer's tokens stay cached as well.
  const double tokens = job.prompt + job.output;
  const auto [found, inserted] = m_cache.try_emplace(job.conversation);
  if (inserted) {
    m_cache_order.push_front(job.conversation);
    found->second.used = m_cache_order.begin();
  }
  m_cache_used += tokens - found->second.tokens;
  found->second.tokens = tokens;
  while (m_cache_used > m_config.cache_tokens && m_cache.size() > 1) {
    const auto oldest = m_cache.find(m_cache_order.back());
    m_cache_used -= oldest->second.tokens;
    m_cache.erase(oldest);
    m_cache_order.pop_back();
  }
}

}  // namespace cornelrelay::policybench
