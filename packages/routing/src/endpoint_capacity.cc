#include <algorithm>
#include <cmath>
#include <lycheestand/routing.h>

namespace lycheestand::routing {

namespace {

// Variance of the lasting and of the momentary deviation among endpoints.
// Speeds from 0.55 to 1.2 of the mean have a standard deviation of about 0.25
// in the logarithm. Larger values follow changes faster, but made the choice
// among even endpoints worse in bench/policy.
constexpr double kLastingVariance = 0.05;
constexpr double kMomentaryVariance = 0.05;

// Time in which the momentary part decays to 1/e.
constexpr double kMomentarySeconds = 3;

// How far a single time may differ from the estimate, and for how long times
// have a common cause. A prompt waits for prompts of other routers, so some of
// its times are several times longer, and several in a row. With the values of
// plain services the choice among even engines was worse in bench/policy.
struct NoiseTraits
{
  double maxErrorDeviations;
  double correlationSeconds;
  // Factor of the measured variance, for causes in common beyond that time.
  double varianceFactor;
};
constexpr NoiseTraits kPlainNoise{ 2, 0.1, 1 };
constexpr NoiseTraits kPromptNoise{ 1, 0.5, 2.5 };

// The same bound for the measurement of the noise itself.
constexpr double kMaxNoiseDeviations = 3;

// An estimate of less than the first number of standard deviations of noise
// counts as 0, and one of more than the second counts in full.
constexpr double kIgnoredDeviations = 2;
constexpr double kFullDeviations = 3;

// Shortest time between two samples that is taken into account.
constexpr double kMinSampleSeconds = 0.001;

// An endpoint that answers with nothing at once must not attract much load.
constexpr double kMinSpeed = 0.2;
constexpr double kMaxSpeed = 1.5;

// Largest deviation of a single time: a factor of 8.
constexpr double kMaxDeviation = 2.08;

// Time in which a reported pace loses half its weight: endpoints slow down for
// moments about every 600 ms.
constexpr double kPaceHalfLifeSeconds = 0.3;

// Range in which a reported pace is used, and the weight of the newest one in
// their mean.
constexpr double kMinPace = 0.25;
constexpr double kMaxPace = 4;
constexpr double kPaceSmoothing = 0.05;

// Weight of the newest time in the regression, once there are enough.
constexpr double kTimeSmoothing = 0.01;

// Times of a service before its endpoints are compared.
constexpr unsigned kMinTimes = 8;

// Weight of the assumed slope, in units of the variance of the variable.
constexpr double kPriorSlopeWeight = 0.1;

// Smallest expected time as a fraction of the mean, since a regression line may
// become negative.
constexpr double kMinTimeFraction = 0.1;

// Least variance of a deviation.
constexpr double kMinNoise = 0.01;

// The lasting part is forgotten over this multiple of the interval at which an
// endpoint is usually measured. An endpoint that is avoided isn't measured, and
// must be tried again at some time.
constexpr double kMemoryIntervals = 20;
constexpr Duration kMinMemory = std::chrono::seconds(10);
constexpr Duration kMaxMemory = std::chrono::seconds(120);

constexpr double kTokensPerUnit = 1000;

constexpr double
Square(double aValue)
{
  return aValue * aValue;
}

} // namespace

// ------------------------------------------------------------ EndpointCapacity

EndpointCapacity::Decay
EndpointCapacity::DecayUntil(TimePoint aNow) const
{
  double seconds = std::max(0.0, ToSeconds(aNow - this->updatedAt));
  return { std::exp(-seconds / ToSeconds(this->memory)),
           std::exp(-seconds / kMomentarySeconds) };
}

// Without measurements both parts decay to 0 and become as uncertain as those
// of an unknown endpoint.
void
EndpointCapacity::Predict(TimePoint aNow)
{
  if (!this->isMeasured) {
    this->isMeasured = true;
    this->uncertainty = { kLastingVariance, 0, kMomentaryVariance };
    this->updatedAt = aNow;
    return;
  }
  auto decay = this->DecayUntil(aNow);
  this->updatedAt = std::max(this->updatedAt, aNow);
  this->lasting *= decay.lasting;
  this->momentary *= decay.momentary;
  for (auto* matrix : { &this->uncertainty, &this->noise }) {
    matrix->lasting *= Square(decay.lasting);
    matrix->both *= decay.lasting * decay.momentary;
    matrix->momentary *= Square(decay.momentary);
  }
  this->uncertainty.lasting += kLastingVariance * (1 - Square(decay.lasting));
  this->uncertainty.momentary +=
    kMomentaryVariance * (1 - Square(decay.momentary));
}

// One step of a Kalman filter whose measurement is the sum of both parts.
// Samples with a common cause have together the weight of one.
void
EndpointCapacity::Observe(const DeviationSample& aSample,
                          Duration aMemory,
                          TimePoint aNow)
{
  double sinceLast =
    std::max(kMinSampleSeconds, ToSeconds(aNow - this->updatedAt));
  double variance =
    aSample.variance * std::max(1.0, aSample.correlationSeconds / sinceLast);
  this->Predict(aNow);
  this->memory = aMemory;
  auto& known = this->uncertainty;
  double ofLasting = known.lasting + known.both;
  double ofMomentary = known.both + known.momentary;
  double total = ofLasting + ofMomentary + variance;
  double bound = aSample.maxErrorDeviations * std::sqrt(total);
  double error = std::clamp(
    aSample.deviation - this->lasting - this->momentary, -bound, bound);
  double gainLasting = ofLasting / total;
  double gainMomentary = ofMomentary / total;
  this->lasting += gainLasting * error;
  this->momentary += gainMomentary * error;
  known.lasting -= gainLasting * ofLasting;
  known.both -= gainLasting * ofMomentary;
  known.momentary -= gainMomentary * ofMomentary;
  // The same step for the variance that the noise alone has caused.
  auto& caused = this->noise;
  double causedLasting = caused.lasting + caused.both;
  double causedMomentary = caused.both + caused.momentary;
  double sum = causedLasting + causedMomentary + variance;
  caused.lasting += Square(gainLasting) * sum - 2 * gainLasting * causedLasting;
  caused.both += gainLasting * gainMomentary * sum -
                 gainLasting * causedMomentary - gainMomentary * causedLasting;
  caused.momentary +=
    Square(gainMomentary) * sum - 2 * gainMomentary * causedMomentary;
}

void
EndpointCapacity::ObservePace(double aPace, TimePoint aNow)
{
  double pace = std::clamp(aPace, kMinPace, kMaxPace);
  this->meanPace = this->hasPace
                     ? this->meanPace + kPaceSmoothing * (pace - this->meanPace)
                     : pace;
  this->pace = pace;
  this->paceAt = aNow;
  this->hasPace = true;
}

// The lasting effect of the pace is part of the measured times already.
double
EndpointCapacity::PaceRatio(TimePoint aNow) const
{
  if (!this->hasPace) {
    return 1;
  }
  double age = std::max(0.0, ToSeconds(aNow - this->paceAt));
  return 1 + (this->pace / this->meanPace - 1) *
               std::exp2(-age / kPaceHalfLifeSeconds);
}

double
EndpointCapacity::Deviation(TimePoint aNow) const
{
  if (!this->isMeasured) {
    return 0;
  }
  auto decay = this->DecayUntil(aNow);
  return this->lasting * decay.lasting + this->momentary * decay.momentary;
}

double
EndpointCapacity::Variance(TimePoint aNow) const
{
  EndpointCapacity later = *this;
  later.Predict(aNow);
  return later.uncertainty.lasting + 2 * later.uncertainty.both +
         later.uncertainty.momentary;
}

double
EndpointCapacity::MeasuredSpeed(TimePoint aNow) const
{
  if (!this->isMeasured) {
    return 1;
  }
  auto decay = this->DecayUntil(aNow);
  double deviation =
    this->lasting * decay.lasting + this->momentary * decay.momentary;
  double caused = this->noise.lasting * Square(decay.lasting) +
                  2 * this->noise.both * decay.lasting * decay.momentary +
                  this->noise.momentary * Square(decay.momentary);
  double significance =
    std::abs(deviation) / std::sqrt(std::max(caused, 1e-12));
  double weight = std::clamp((significance - kIgnoredDeviations) /
                               (kFullDeviations - kIgnoredDeviations),
                             0.0,
                             1.0);
  return std::clamp(std::exp(-deviation * weight), kMinSpeed, kMaxSpeed);
}

double
EndpointCapacity::Speed(TimePoint aNow) const
{
  return std::clamp(
    this->MeasuredSpeed(aNow) / this->PaceRatio(aNow), kMinSpeed, kMaxSpeed);
}

double
InFlightLimit(double aSlots, double aSpeed)
{
  return std::max(1.0, aSlots * std::min(1.0, aSpeed));
}

// ------------------------------------------------------------ TimeModel

double
TimeModel::Gain() const
{
  return std::max(kTimeSmoothing, 1.0 / std::max(1U, this->count));
}

// A slope below 0 is due to noise: more work doesn't take less time.
double
TimeModel::Slope() const
{
  return std::max(0.0,
                  (this->covariance + kPriorSlopeWeight * this->priorSlope) /
                    (this->variance + kPriorSlopeWeight));
}

double
TimeModel::BaseSeconds() const
{
  return std::max(kMinTimeFraction * this->meanSeconds,
                  this->meanSeconds - this->Slope() * this->meanVariable);
}

bool
TimeModel::IsReady() const
{
  return this->count >= kMinTimes;
}

double
TimeModel::Deviation(double aSeconds, double aVariable) const
{
  double expected = std::max(
    kMinTimeFraction * this->meanSeconds,
    this->meanSeconds + this->Slope() * (aVariable - this->meanVariable));
  double ratio = std::max(aSeconds, 1e-6) / std::max(expected, 1e-6);
  return std::clamp(std::log(ratio), -kMaxDeviation, kMaxDeviation) -
         this->meanDeviation;
}

void
TimeModel::Add(double aSeconds, double aVariable)
{
  if (this->count > 0) {
    this->meanDeviation += this->Gain() * this->Deviation(aSeconds, aVariable);
  }
  ++this->count;
  double gain = this->Gain();
  double secondsChange = aSeconds - this->meanSeconds;
  double variableChange = aVariable - this->meanVariable;
  this->meanSeconds += gain * secondsChange;
  this->meanVariable += gain * variableChange;
  this->variance +=
    gain * ((1 - gain) * Square(variableChange) - this->variance);
  this->covariance +=
    gain * ((1 - gain) * secondsChange * variableChange - this->covariance);
}

void
TimeModel::AddError(double aError, double aVariance)
{
  double bound = kMaxNoiseDeviations * std::sqrt(this->noise + aVariance);
  double square = Square(std::clamp(aError, -bound, bound));
  this->noise = std::max(
    kMinNoise, this->noise + this->Gain() * (square - aVariance - this->noise));
}

// ------------------------------------------------------------ ServiceTimes

ServiceTimes::ServiceTimes(double aPromptTokensPerSecond)
  : answer(kTokensPerUnit / aPromptTokensPerSecond)
{
}

Duration
ServiceTimes::Memory(std::size_t aEndpoints) const
{
  double seconds = kMemoryIntervals * this->intervalSeconds *
                   static_cast<double>(std::max<std::size_t>(1, aEndpoints));
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    std::clamp(seconds, ToSeconds(kMinMemory), ToSeconds(kMaxMemory))));
}

void
ServiceTimes::Record(EndpointCapacity& aCapacity,
                     const TimeSample& aSample,
                     std::size_t aEndpoints,
                     TimePoint aNow)
{
  bool isAnswer = aSample.part == TimedPart::Answer;
  TimeModel& model = isAnswer ? this->answer : this->gap;
  double variable =
    isAnswer ? aSample.promptTokens / kTokensPerUnit : aSample.runningPerSlot;
  double seconds =
    isAnswer ? aSample.seconds / (1 + aSample.queuedPerSlot) : aSample.seconds;
  double deviation = model.Deviation(seconds, variable);
  double error = deviation - aCapacity.Deviation(aNow);
  if (aSample.isLowerBound && (!model.IsReady() || error <= 0)) {
    return;
  }
  if (model.IsReady()) {
    double variance = aCapacity.Variance(aNow);
    const auto& traits =
      this->answer.HasVariable() ? kPromptNoise : kPlainNoise;
    aCapacity.Observe({ deviation,
                        model.Noise() * traits.varianceFactor,
                        traits.maxErrorDeviations,
                        traits.correlationSeconds },
                      this->Memory(aEndpoints),
                      aNow);
    model.AddError(error, variance);
  }
  // The usual time is that of complete requests.
  if (aSample.isLowerBound) {
    return;
  }
  model.Add(seconds, variable);
  if (this->lastSampleAt != TimePoint{}) {
    double interval = ToSeconds(aNow - this->lastSampleAt);
    this->intervalSeconds +=
      kTimeSmoothing * (interval - this->intervalSeconds);
  }
  this->lastSampleAt = aNow;
}

double
ServiceTimes::UsualSeconds() const
{
  return this->answer.IsReady() ? this->answer.BaseSeconds() : 0;
}

} // namespace lycheestand::routing
