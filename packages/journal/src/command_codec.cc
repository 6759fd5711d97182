#include "pack.h"

#include <lycheestand/journal.h>

// Converts between commands and their generated FlatBuffers types.

namespace lycheestand::journal {

namespace {

fb::CreateWorkspaceT
PackBody(const state::CreateWorkspace& aIn)
{
  fb::CreateWorkspaceT out;
  out.change = aIn.change.Get();
  out.workspace = aIn.workspace.Get();
  return out;
}

state::Command
UnpackBody(const fb::CreateWorkspaceT& aIn)
{
  return state::CreateWorkspace{ ChangeId(aIn.change),
                                 WorkspaceId(aIn.workspace) };
}

fb::TopUpBudgetT
PackBody(const state::TopUpBudget& aIn)
{
  fb::TopUpBudgetT out;
  out.change = aIn.change.Get();
  out.workspace = aIn.workspace.Get();
  out.tokens = aIn.tokens.Get();
  return out;
}

state::Command
UnpackBody(const fb::TopUpBudgetT& aIn)
{
  return state::TopUpBudget{ ChangeId(aIn.change),
                             WorkspaceId(aIn.workspace),
                             Tokens(aIn.tokens) };
}

fb::CreateKeyT
PackBody(const state::CreateKey& aIn)
{
  fb::CreateKeyT out;
  out.change = aIn.change.Get();
  out.key = aIn.key.Get();
  out.hash = aIn.hash.Get();
  out.workspace = aIn.workspace.Get();
  out.site = aIn.site.Get();
  return out;
}

state::Command
UnpackBody(const fb::CreateKeyT& aIn)
{
  return state::CreateKey{ ChangeId(aIn.change),
                           KeyId(aIn.key),
                           KeyHash(aIn.hash),
                           WorkspaceId(aIn.workspace),
                           SiteId(aIn.site) };
}

fb::RevokeKeyT
PackBody(const state::RevokeKey& aIn)
{
  fb::RevokeKeyT out;
  out.change = aIn.change.Get();
  out.key = aIn.key.Get();
  return out;
}

state::Command
UnpackBody(const fb::RevokeKeyT& aIn)
{
  return state::RevokeKey{ ChangeId(aIn.change), KeyId(aIn.key) };
}

fb::ApplyConfigurationT
PackBody(const state::ApplyConfiguration& aIn)
{
  fb::ApplyConfigurationT out;
  out.change = aIn.change.Get();
  out.base = aIn.base.Get();
  out.document = aIn.document;
  for (const auto& [workspace, tokens] : aIn.workspaces) {
    auto& entry =
      *out.workspaces.emplace_back(std::make_unique<fb::FirstTokensT>());
    entry.workspace = workspace.Get();
    entry.tokens = tokens.Get();
  }
  return out;
}

state::Command
UnpackBody(const fb::ApplyConfigurationT& aIn)
{
  state::ApplyConfiguration out;
  out.change = ChangeId(aIn.change);
  out.base = ConfigVersion(aIn.base);
  out.document = aIn.document;
  for (const auto& entry : aIn.workspaces) {
    out.workspaces.emplace_back(WorkspaceId(entry->workspace),
                                Tokens(entry->tokens));
  }
  return out;
}

fb::RegisterSessionT
PackBody(const state::RegisterSession& aIn)
{
  fb::RegisterSessionT out;
  out.instance = aIn.instance.Get();
  out.session = aIn.session.Get();
  return out;
}

state::Command
UnpackBody(const fb::RegisterSessionT& aIn)
{
  return state::RegisterSession{ InstanceId(aIn.instance),
                                 SessionId(aIn.session) };
}

fb::CloseSessionT
PackBody(const state::CloseSession& aIn)
{
  fb::CloseSessionT out;
  out.change = aIn.change.Get();
  out.instance = aIn.instance.Get();
  return out;
}

state::Command
UnpackBody(const fb::CloseSessionT& aIn)
{
  return state::CloseSession{ ChangeId(aIn.change), InstanceId(aIn.instance) };
}

fb::GrantTokensT
PackBody(const state::GrantTokens& aIn)
{
  fb::GrantTokensT out;
  out.session = aIn.session.Get();
  out.request = aIn.request;
  out.workspace = aIn.workspace.Get();
  out.minimum = aIn.minimum.Get();
  out.wanted = aIn.wanted.Get();
  out.ahead = aIn.isPrefetch;
  out.main_user = aIn.isMainUser;
  return out;
}

state::Command
UnpackBody(const fb::GrantTokensT& aIn)
{
  return state::GrantTokens{
    SessionId(aIn.session), aIn.request,        WorkspaceId(aIn.workspace),
    Tokens(aIn.minimum),    Tokens(aIn.wanted), aIn.ahead,
    aIn.main_user
  };
}

fb::ReportUsageT
PackBody(const state::ReportUsage& aIn)
{
  fb::ReportUsageT out;
  out.session = aIn.session.Get();
  out.batch = aIn.batch.Get();
  for (const auto& usage : aIn.entries) {
    auto& entry = *out.entries.emplace_back(std::make_unique<fb::UsageT>());
    entry.workspace = usage.workspace.Get();
    entry.spent = usage.spent.Get();
    entry.returned = usage.returned.Get();
    entry.requests = usage.requests;
  }
  return out;
}

state::Command
UnpackBody(const fb::ReportUsageT& aIn)
{
  state::ReportUsage out;
  out.session = SessionId(aIn.session);
  out.batch = BatchNumber(aIn.batch);
  for (const auto& entry : aIn.entries) {
    out.entries.push_back({ WorkspaceId(entry->workspace),
                            Tokens(entry->spent),
                            Tokens(entry->returned),
                            entry->requests });
  }
  return out;
}

fb::RecordOperationT
PackBody(const state::RecordOperation& aIn)
{
  fb::RecordOperationT out;
  out.session = aIn.session.Get();
  out.request = aIn.request;
  out.workspace = aIn.workspace.Get();
  out.key = aIn.key.Get();
  out.body_hash = aIn.bodyHash.Get();
  out.phase = static_cast<fb::OperationPhase>(aIn.phase);
  out.answer = Pack(aIn.answer);
  return out;
}

state::Command
UnpackBody(const fb::RecordOperationT& aIn)
{
  return state::RecordOperation{
    SessionId(aIn.session),
    aIn.request,
    WorkspaceId(aIn.workspace),
    OperationKey(aIn.key),
    BodyHash(aIn.body_hash),
    CheckedEnum(aIn.phase, OperationPhase::Unknown),
    UnpackAnswer(aIn.answer.get())
  };
}

fb::OrderEngineT
PackBody(const state::OrderEngine& aIn)
{
  fb::OrderEngineT out;
  out.change = aIn.change.Get();
  out.endpoint = aIn.endpoint.Get();
  out.kind = static_cast<fb::OrderKind>(aIn.kind);
  out.argument = aIn.argument;
  return out;
}

state::Command
UnpackBody(const fb::OrderEngineT& aIn)
{
  return state::OrderEngine{ ChangeId(aIn.change),
                             EndpointId(aIn.endpoint),
                             CheckedEnum(aIn.kind, OrderKind::SetRole),
                             aIn.argument };
}

fb::ReplaceRoutesT
PackBody(const state::ReplaceRoutes& aIn)
{
  fb::ReplaceRoutesT out;
  out.version = aIn.version.Get();
  out.document = aIn.document;
  for (const auto& [workspace, tokens] : aIn.prepaid) {
    auto& entry =
      *out.prepaid.emplace_back(std::make_unique<fb::FirstTokensT>());
    entry.workspace = workspace.Get();
    entry.tokens = tokens.Get();
  }
  return out;
}

state::Command
UnpackBody(const fb::ReplaceRoutesT& aIn)
{
  state::ReplaceRoutes out;
  out.version = ConfigVersion(aIn.version);
  out.document = aIn.document;
  for (const auto& entry : aIn.prepaid) {
    out.prepaid.emplace_back(WorkspaceId(entry->workspace),
                             Tokens(entry->tokens));
  }
  return out;
}

fb::SetZoneEvacuationT
PackBody(const state::SetZoneEvacuation& aIn)
{
  fb::SetZoneEvacuationT out;
  out.change = aIn.change.Get();
  out.zone = aIn.zone.Get();
  out.evacuated = aIn.isEvacuated;
  out.known = aIn.isKnown;
  for (const auto& zone : aIn.zonesWithEndpoints) {
    out.endpoint_zones.push_back(zone.Get());
  }
  return out;
}

state::Command
UnpackBody(const fb::SetZoneEvacuationT& aIn)
{
  state::SetZoneEvacuation out;
  out.change = ChangeId(aIn.change);
  out.zone = ZoneId(aIn.zone);
  out.isEvacuated = aIn.evacuated;
  out.isKnown = aIn.known;
  for (const auto& zone : aIn.endpoint_zones) {
    out.zonesWithEndpoints.insert(ZoneId(zone));
  }
  return out;
}

fb::ConfirmOrderT
PackBody(const state::ConfirmOrder& aIn)
{
  fb::ConfirmOrderT out;
  out.endpoint = aIn.endpoint.Get();
  out.number = aIn.number.Get();
  return out;
}

state::Command
UnpackBody(const fb::ConfirmOrderT& aIn)
{
  return state::ConfirmOrder{ EndpointId(aIn.endpoint),
                              FencingNumber(aIn.number) };
}

fb::AdmitVersionT
PackBody(const state::AdmitVersion& aIn)
{
  fb::AdmitVersionT out;
  out.service = aIn.service.Get();
  out.version = aIn.version.Get();
  return out;
}

state::Command
UnpackBody(const fb::AdmitVersionT& aIn)
{
  return state::AdmitVersion{ ServiceName(aIn.service),
                              SoftwareVersion(aIn.version) };
}

fb::RetireVersionT
PackBody(const state::RetireVersion& aIn)
{
  fb::RetireVersionT out;
  out.service = aIn.service.Get();
  out.version = aIn.version.Get();
  return out;
}

state::Command
UnpackBody(const fb::RetireVersionT& aIn)
{
  return state::RetireVersion{ ServiceName(aIn.service),
                               SoftwareVersion(aIn.version) };
}

fb::RecordStreamsT
PackBody(const state::RecordStreams& aIn)
{
  fb::RecordStreamsT out;
  for (const auto& batch : aIn.batches) {
    auto& entry =
      *out.batches.emplace_back(std::make_unique<fb::StreamBatchT>());
    entry.service = batch.service.Get();
    entry.version = batch.version.Get();
    entry.streams.reserve(batch.streams.size());
    for (StreamId stream : batch.streams) {
      entry.streams.push_back(stream.Get());
    }
  }
  return out;
}

state::Command
UnpackBody(const fb::RecordStreamsT& aIn)
{
  state::RecordStreams out;
  for (const auto& entry : aIn.batches) {
    out.batches.push_back(
      { ServiceName(entry->service), SoftwareVersion(entry->version), {} });
    for (std::uint64_t stream : entry->streams) {
      out.batches.back().streams.emplace_back(stream);
    }
  }
  return out;
}

fb::AgeStreamsT
PackBody(const state::AgeStreams&)
{
  return {};
}

} // namespace

std::string
CopyBuffer(const flatbuffers::FlatBufferBuilder& aBuilder)
{
  return { reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
           aBuilder.GetSize() };
}

std::unique_ptr<fb::AnswerT>
Pack(const StoredAnswer& aIn)
{
  auto out = std::make_unique<fb::AnswerT>();
  out->status = aIn.status;
  out->content_type = aIn.contentType;
  out->body.assign(aIn.body.begin(), aIn.body.end());
  return out;
}

StoredAnswer
UnpackAnswer(const fb::AnswerT* aIn)
{
  if (aIn == nullptr) {
    return {};
  }
  return { aIn->status,
           aIn->content_type,
           { aIn->body.begin(), aIn->body.end() } };
}

fb::CommandT
Pack(const state::Command& aIn)
{
  fb::CommandT out;
  std::visit([&](const auto& aBody) { out.body.Set(PackBody(aBody)); }, aIn);
  return out;
}

// A damaged buffer can set the type of a union without its table.
state::Command
Unpack(fb::CommandT& aIn)
{
  if (aIn.body.value == nullptr) {
    throw InvalidField{};
  }
  switch (aIn.body.type) {
    case fb::CommandBody::CreateWorkspace:
      return UnpackBody(*aIn.body.AsCreateWorkspace());
    case fb::CommandBody::TopUpBudget:
      return UnpackBody(*aIn.body.AsTopUpBudget());
    case fb::CommandBody::CreateKey:
      return UnpackBody(*aIn.body.AsCreateKey());
    case fb::CommandBody::RevokeKey:
      return UnpackBody(*aIn.body.AsRevokeKey());
    case fb::CommandBody::ApplyConfiguration:
      return UnpackBody(*aIn.body.AsApplyConfiguration());
    case fb::CommandBody::RegisterSession:
      return UnpackBody(*aIn.body.AsRegisterSession());
    case fb::CommandBody::CloseSession:
      return UnpackBody(*aIn.body.AsCloseSession());
    case fb::CommandBody::GrantTokens:
      return UnpackBody(*aIn.body.AsGrantTokens());
    case fb::CommandBody::ReportUsage:
      return UnpackBody(*aIn.body.AsReportUsage());
    case fb::CommandBody::RecordOperation:
      return UnpackBody(*aIn.body.AsRecordOperation());
    case fb::CommandBody::OrderEngine:
      return UnpackBody(*aIn.body.AsOrderEngine());
    case fb::CommandBody::ConfirmOrder:
      return UnpackBody(*aIn.body.AsConfirmOrder());
    case fb::CommandBody::ReplaceRoutes:
      return UnpackBody(*aIn.body.AsReplaceRoutes());
    case fb::CommandBody::SetZoneEvacuation:
      return UnpackBody(*aIn.body.AsSetZoneEvacuation());
    case fb::CommandBody::AdmitVersion:
      return UnpackBody(*aIn.body.AsAdmitVersion());
    case fb::CommandBody::RetireVersion:
      return UnpackBody(*aIn.body.AsRetireVersion());
    case fb::CommandBody::RecordStreams:
      return UnpackBody(*aIn.body.AsRecordStreams());
    case fb::CommandBody::AgeStreams:
      return state::AgeStreams{};
    case fb::CommandBody::NONE:
      break;
  }
  throw InvalidField{};
}

std::string
EncodeCommand(const state::Command& aCommand)
{
  fb::CommandT command = Pack(aCommand);
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::Command::Pack(builder, &command));
  return CopyBuffer(builder);
}

Result<state::Command, JournalError>
DecodeCommand(std::string_view aBytes)
{
  flatbuffers::Verifier verifier(
    reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
  if (!verifier.VerifyBuffer<fb::Command>(nullptr)) {
    return JournalError::Malformed;
  }
  fb::CommandT command;
  flatbuffers::GetRoot<fb::Command>(aBytes.data())->UnPackTo(&command);
  try {
    return Unpack(command);
  } catch (const InvalidField&) {
    return JournalError::InvalidValue;
  }
}

} // namespace lycheestand::journal
