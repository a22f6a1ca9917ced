#pragma once

#include "core/time_type.h"

namespace bramleypitch {

/// What a node knows of its contact with the store when it learns that an entry has been removed.
struct StoreContact
{
    TimePoint provenAt; ///< The entry existed then: the node's copy was up to date.
    TimePoint failedCallAt; ///< When it sent the last call that failed.
};

/// Returns until when a server may be sent requests although its entry has been removed. The server
/// may have left: then it takes requests for 2 s from the removal, not from when a node learns of
/// it. Or its entry has expired while the store was away, and the server should go on working until
/// it has written its entry again. A store that has not been back for 3 s may remove the entries of
/// servers that are still working, and the last outage has not ended before a call that failed in
/// it was sent.
TimePoint lapsedServingEnd(const StoreContact &contact, TimePoint now);

} // namespace bramleypitch
