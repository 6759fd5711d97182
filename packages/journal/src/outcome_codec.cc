#include "pack.h"

// Converts between outcomes and their generated FlatBuffers types.

namespace lycheestand::journal {

namespace {

fb::DoneT
PackBody(const state::Done&)
{
  return {};
}

fb::RejectedT
PackBody(const state::Rejected& aIn)
{
  fb::RejectedT out;
  out.reason = static_cast<fb::Rejection>(aIn.reason);
  return out;
}

fb::ConfigurationAppliedT
PackBody(const state::ConfigurationApplied& aIn)
{
  fb::ConfigurationAppliedT out;
  out.version = aIn.version.Get();
  return out;
}

fb::BudgetToppedUpT
PackBody(const state::BudgetToppedUp& aIn)
{
  fb::BudgetToppedUpT out;
  out.paid = aIn.paid.Get();
  return out;
}

fb::TokensGrantedT
PackBody(const state::TokensGranted& aIn)
{
  return Pack(aIn);
}

fb::OperationRecordedT
PackBody(const state::OperationRecorded& aIn)
{
  fb::OperationRecordedT out;
  out.state = static_cast<fb::OperationState>(aIn.state);
  out.answer = Pack(aIn.answer);
  return out;
}

fb::OrderAcceptedT
PackBody(const state::OrderAccepted& aIn)
{
  fb::OrderAcceptedT out;
  out.number = aIn.number.Get();
  return out;
}

fb::StreamsRecordedT
PackBody(const state::StreamsRecorded& aIn)
{
  fb::StreamsRecordedT out;
  out.added = aIn.added;
  out.dropped = aIn.dropped;
  out.total = aIn.total;
  return out;
}

} // namespace

fb::TokensGrantedT
Pack(const state::TokensGranted& aIn)
{
  fb::TokensGrantedT out;
  out.grant = aIn.grant.Get();
  out.tokens = aIn.tokens.Get();
  out.exhausted = aIn.exhausted;
  out.most_held = aIn.holdsTokenMajority;
  return out;
}

state::TokensGranted
Unpack(const fb::TokensGrantedT& aIn)
{
  return {
    GrantId(aIn.grant), Tokens(aIn.tokens), aIn.exhausted, aIn.most_held
  };
}

fb::OutcomeT
Pack(const state::Outcome& aIn)
{
  fb::OutcomeT out;
  std::visit([&](const auto& aBody) { out.body.Set(PackBody(aBody)); }, aIn);
  return out;
}

state::Outcome
Unpack(fb::OutcomeT& aIn)
{
  if (aIn.body.value == nullptr) {
    throw InvalidField{};
  }
  switch (aIn.body.type) {
    case fb::OutcomeBody::Done:
      return state::Done{};
    case fb::OutcomeBody::Rejected:
      return state::Rejected{ CheckedEnum(aIn.body.AsRejected()->reason,
                                          state::Rejection::TooManyVersions) };
    case fb::OutcomeBody::ConfigurationApplied:
      return state::ConfigurationApplied{ ConfigVersion(
        aIn.body.AsConfigurationApplied()->version) };
    case fb::OutcomeBody::BudgetToppedUp:
      return state::BudgetToppedUp{ Tokens(aIn.body.AsBudgetToppedUp()->paid) };
    case fb::OutcomeBody::TokensGranted:
      return Unpack(*aIn.body.AsTokensGranted());
    case fb::OutcomeBody::OperationRecorded: {
      const auto& recorded = *aIn.body.AsOperationRecorded();
      return state::OperationRecorded{ CheckedEnum(recorded.state,
                                                   OperationState::Refused),
                                       UnpackAnswer(recorded.answer.get()) };
    }
    case fb::OutcomeBody::OrderAccepted:
      return state::OrderAccepted{ FencingNumber(
        aIn.body.AsOrderAccepted()->number) };
    case fb::OutcomeBody::StreamsRecorded: {
      const auto& recorded = *aIn.body.AsStreamsRecorded();
      return state::StreamsRecorded{ recorded.added,
                                     recorded.dropped,
                                     recorded.total };
    }
    case fb::OutcomeBody::NONE:
      break;
  }
  throw InvalidField{};
}

} // namespace lycheestand::journal
