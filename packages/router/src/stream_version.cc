#include "forward.h"

namespace lycheestand::router {

void
BeginStream(const RequestPtr& aRequest)
{
  if (!aRequest->streamVersion) {
    aRequest->streamVersion = aRequest->attempt.version;
  }
}

} // namespace lycheestand::router
