#ifndef LYCHEESTAND_QUARANTINE_CODEC_H
#define LYCHEESTAND_QUARANTINE_CODEC_H

// Converts between the lists of a RequestTracker and the messages that carry
// them. Times in messages are relative, since processes have different clocks.

#include <lycheestand/quarantine.h>
#include <lycheestand/wire.h>

namespace lycheestand::quarantine_codec {

// Replaces the requests in a message.
void
WriteLists(const quarantine::RequestLists& aLists,
           TimePoint aNow,
           wire::QuarantineState& aOut);

// Reads the requests in a message. Records whose state this version does not
// know are left out.
quarantine::RequestLists
ReadLists(const wire::QuarantineState& aState, TimePoint aNow);

// Returns the message as it is to be sent this long after it was made.
wire::QuarantineState
WithAge(wire::QuarantineState aState, Duration aAge);

} // namespace lycheestand::quarantine_codec

#endif
