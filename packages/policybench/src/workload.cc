#include "cornelrelay/policybench/workload.h"

#include <algorithm>
#include <cmath>

#include "cornelrelay/core/random.h"

namespace cornelrelay::policybench {

namespace {

constexpr double kMicrosPerSecond = 1e6;

// The morning rise of conversation starts, in seconds; it ends early enough for the full load at
// the measurement.
constexpr double kPeakLead = 80;
constexpr double kPeakRise = 40;

// Size of new text over a drifting run, relative to the mean.
constexpr double kLeastGrowth = 0.8;
constexpr double kMostGrowth = 1.2;

double Exponential(core::Random& random, double mean) {
  return -mean * std::log(1 - random.Unit());
}

// Lengths vary by a factor of about two around the mean, as sums of short and long texts do.
double Length(core::Random& random, double mean) {
  return std::max(1.0, mean / 2 + Exponential(random, mean / 2));
}

core::Instant Seconds(double seconds) {
  return core::Instant(
      core::Duration(static_cast<core::Duration::rep>(seconds * kMicrosPerSecond)));
}

// One conversation from `start` on; returns the sum of its prompts.
double Converse(const Shape& shape, core::Random& random, double start, std::size_t id,
                double growth, std::vector<Job>& jobs) {
  double context = 0, sum = 0, time = start;
  while (true) {
    Job job;
    job.conversation = id;
    job.arrival = Seconds(time);
    job.prefix = context;
    job.prompt =
        context + growth * Length(random, context == 0 ? shape.base_prompt : shape.turn_prompt);
    job.output = Length(random, shape.output);
    context = job.prompt + job.output;
    sum += job.prompt;
    time +=
        job.output * shape.token_us / kMicrosPerSecond + Exponential(random, shape.think_seconds);
    jobs.push_back(job);
    if (random.Unit() < 1 / shape.turns) return sum;
  }
}

}  // namespace

std::vector<Shape> Shapes() {
  Shape peak;
  peak.name = "morning-peak";
  peak.description = "short steep morning peak";
  peak.morning_peak = true;

  Shape drift;
  drift.name = "all-day-drift";
  drift.description = "short prompts, steady all-day drift";
  drift.base_prompt = 250;
  drift.turn_prompt = 60;
  drift.output = 80;
  drift.turns = 3;
  drift.think_seconds = 5;
  drift.drift = true;

  Shape target;
  target.name = "target";
  target.description = "target mix, 253 tokens a request, scaled to 16 replicas";
  target.base_prompt = 500;
  target.turn_prompt = 120;
  target.output = 253;
  target.turns = 4;
  target.think_seconds = 10;

  Shape unshared = target;
  unshared.name = "target-unshared";
  unshared.description = "target mix without any shared prefix";
  unshared.turns = 1;
  unshared.base_prompt = 1000;
  return {peak, drift, target, unshared};
}

double MeanPrompt(const Shape& shape, std::uint64_t seed, double growth) {
  core::Random random(seed);
  std::vector<Job> jobs;
  double sum = 0;
  for (std::size_t i = 0; i < 20000; ++i) sum += Converse(shape, random, 0, i, growth, jobs);
  return sum / static_cast<double>(jobs.size());
}

std::vector<Job> MakeJobs(const Shape& shape, std::uint64_t seed, core::Duration duration,
                          std::size_t replicas, double load) {
  core::Random random(seed);
  const double end = std::chrono::duration<double>(duration).count();
  const double jobs_per_second =
      load * static_cast<double>(replicas) * kMicrosPerSecond /
      (MeanPrompt(shape, seed, shape.drift ? kLeastGrowth : 1) * shape.prefill_us);
  const double starts_per_second = jobs_per_second / shape.turns;

  // Conversations start long before zero, so that the mix of early and late turns is steady from
  // the beginning.
  const double warm_up =
      -6 * shape.turns * (shape.think_seconds + shape.output * shape.token_us / kMicrosPerSecond);
  // Longer prompts at the end of a drift come at a lower rate, so the load stays the same.
  const double drift_part =
      MeanPrompt(shape, seed, kLeastGrowth) / MeanPrompt(shape, seed, kMostGrowth);
  std::vector<Job> jobs;
  std::size_t conversation = 0;
  double time = warm_up;
  while (true) {
    time += Exponential(random, 1 / starts_per_second);
    if (time > end) break;
    double part = 1, growth = 1;
    if (shape.morning_peak) part = std::clamp((time + kPeakLead) / kPeakRise, 1.0 / 3, 1.0);
    if (shape.drift) {
      growth = kLeastGrowth + (kMostGrowth - kLeastGrowth) * std::clamp(time / end, 0.0, 1.0);
      part = std::lerp(1.0, drift_part, std::clamp(time / end, 0.0, 1.0));
    }
    if (random.Unit() > part) continue;
    Converse(shape, random, time, conversation++, growth, jobs);
  }
  std::erase_if(jobs, [&](const Job& job) {
    return job.arrival < core::Instant{} || job.arrival > Seconds(end);
  });
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const Job& a, const Job& b) { return a.arrival < b.arrival; });
  for (std::size_t i = 0; i < jobs.size(); ++i) jobs[i].id = i;
  return jobs;
}

}  // namespace cornelrelay::policybench
