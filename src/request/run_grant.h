#pragma once

#include "core/strong_type.h"

#include <algorithm>
#include <vector>

namespace bramleypitch {

/// Grants the attempts of one request their runs. An attempt is granted its run when its first byte
/// is written, at no other moment, and holds it until a proof that the server did not run it gives
/// it back. A request that may run only once gets no second grant while one is held, or after an
/// attempt that held one has ended without such a proof. "Not run" is told to the caller only if no
/// grant is held or was kept.
class RunGrant
{
public:
    /// The attempt is about to be written. Returns whether it may be. `mayRepeat` tells whether the
    /// request may run more than once.
    bool take(AttemptNumber attempt, bool mayRepeat)
    {
        if (isHeldBy(attempt) || (!mayRepeat && mayHaveRun()))
            return false;
        m_holders.push_back(attempt);
        return true;
    }
    /// The server of the attempt proved that it did not run it and will not.
    void giveBack(AttemptNumber attempt) { std::erase(m_holders, attempt); }
    /// A server may have run the request, whether or not the grant of the attempt shows it.
    void keep() { m_isKept = true; }
    /// Whether the attempt was written and nothing has proved that it did not run.
    bool isHeldBy(AttemptNumber attempt) const
    {
        return std::find(m_holders.begin(), m_holders.end(), attempt) != m_holders.end();
    }
    /// Whether a server may have run the request, or may run it yet.
    bool mayHaveRun() const { return m_isKept || !m_holders.empty(); }

private:
    std::vector<AttemptNumber> m_holders; ///< Written attempts.
    bool m_isKept = false;
};

} // namespace bramleypitch
