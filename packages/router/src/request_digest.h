#ifndef LYCHEESTAND_ROUTER_SRC_REQUEST_DIGEST_H
#define LYCHEESTAND_ROUTER_SRC_REQUEST_DIGEST_H

// Hashes by which requests and streams are told apart.

#include <lycheestand/core.h>
#include <lycheestand/routing.h>
#include <string_view>
#include <vector>

namespace lycheestand::router {

// What requests with the same digest have in common.
struct RequestIdentity
{
  // Empty if the request needs no key.
  WorkspaceId workspace;
  std::string_view host;
  // Path with the query.
  std::string_view target;
  std::string_view method;
  std::string_view body;
  // Prefixes of the prompt, for protocols that name them beside the body.
  std::vector<routing::PromptPrefix> prefix;
};

RequestDigest
ComputeDigest(const RequestIdentity& aIdentity);

// Returns the id of the stream of a workspace at a service whose first event
// this request has brought.
StreamId
ComputeStreamId(const WorkspaceId& aWorkspace,
                const ServiceName& aService,
                const RequestId& aRequest);

// Returns a source of one number, which depends on the workspace and on the
// request that has begun a stream.
RandomSource
MakeStreamSource(const WorkspaceId& aWorkspace, const RequestId& aRequest);

} // namespace lycheestand::router

#endif
