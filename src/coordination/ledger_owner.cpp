#include "coordination/ledger_owner.h"

#include <algorithm>

namespace bramleypitch {

namespace {

constexpr Duration retryDelay {200}; ///< Pause before a segment is read again after a failure.
/// Maximum age of a cached head for an InProgress reply; an older head is read again.
constexpr Duration maxCachedHeadAge {200};
constexpr double millisecondsPerSecond = 1000;

} // namespace

LedgerOwner::LedgerOwner(std::string keyPrefix, std::string nodeName, LedgerLimits limits,
                         OperationHook newOperation)
    : m_keyPrefix(std::move(keyPrefix))
    , m_nodeName(std::move(nodeName))
    , m_limits(limits)
    , m_newOperation(std::move(newOperation))
{
}

std::string LedgerOwner::headKey(SegmentIndex index) const
{
    return m_keyPrefix + std::to_string(index.value()) + "/head";
}

std::string LedgerOwner::pageKey(SegmentIndex index, const Nonce &page) const
{
    return m_keyPrefix + std::to_string(index.value()) + "/page/" + page.value();
}

Nonce LedgerOwner::newNonce()
{
    return Nonce(m_nodeName + "-" + std::to_string(m_wall.value()) + "-"
                 + std::to_string(++m_nonceCount));
}

void LedgerOwner::submit(const LedgerRequested &asked, TimePoint now, Actions &actions)
{
    Segment &segment = m_segments[asked.segment];
    segment.lastUsedAt = now;
    segment.pending.push_back({asked.operation, asked.request});
    startNextStep(asked.segment, segment, now, actions);
}

void LedgerOwner::tick(WallTime wall, TimePoint now, Actions &actions)
{
    m_wall = wall;
    for (auto it = m_segments.begin(); it != m_segments.end();) {
        Segment &segment = it->second;
        const bool idle = segment.pending.empty() && segment.requestsInWrite.empty()
            && now - segment.lastUsedAt >= m_limits.cacheIdleTimeout;
        if (idle) {
            it = m_segments.erase(it);
            continue;
        }
        startNextStep(it->first, segment, now, actions);
        ++it;
    }
}

bool LedgerOwner::takeToken(Segment &segment, TimePoint now)
{
    if (segment.tokensUpdatedAt == TimePoint()) {
        segment.tokens = m_limits.writeBurst;
        segment.tokensUpdatedAt = now;
    }
    const auto elapsedMillis = static_cast<double>((now - segment.tokensUpdatedAt).count());
    segment.tokens =
        std::min(m_limits.writeBurst,
                 segment.tokens + elapsedMillis * m_limits.writesPerSecond / millisecondsPerSecond);
    segment.tokensUpdatedAt = now;
    if (segment.tokens < 1)
        return false;
    segment.tokens -= 1;
    return true;
}

void LedgerOwner::readHead(SegmentIndex index, Segment &segment, Actions &actions)
{
    segment.phase = Phase::ReadingHead;
    segment.operation = m_newOperation();
    actions.emplace_back(ReadKey {segment.operation, headKey(index)});
}

void LedgerOwner::readPage(SegmentIndex index, Segment &segment, const Nonce &page,
                           Actions &actions)
{
    segment.phase = Phase::ReadingPages;
    segment.readingPage = page;
    segment.operation = m_newOperation();
    actions.emplace_back(ReadKey {segment.operation, pageKey(index, page)});
}

void LedgerOwner::startNextStep(SegmentIndex index, Segment &segment, TimePoint now,
                                Actions &actions)
{
    if (segment.pending.empty() || now < segment.retryAt)
        return;
    if (segment.phase == Phase::Unloaded) {
        readHead(index, segment, actions);
        return;
    }
    if (segment.phase != Phase::Ready)
        return;
    std::vector<LedgerRequest> requests;
    for (const Pending &pending : segment.pending)
        requests.push_back(pending.request);
    LedgerBatch batch = applyRequests(segment.head, segment.archive, requests, m_limits);
    const bool inProgress =
        std::any_of(batch.replies.begin(), batch.replies.end(), [](const LedgerReply &reply) {
            return reply.answer == LedgerAnswer::InProgress;
        });
    if (!batch.changed && inProgress && now - segment.headVerifiedAt >= maxCachedHeadAge) {
        // Another owner may have recorded the outcome since. Without reading the head again, an
        // outdated copy would answer InProgress forever.
        readHead(index, segment, actions);
        return;
    }
    if (!batch.changed) {
        segment.requestsInWrite.swap(segment.pending);
        segment.replies = std::move(batch.replies);
        sendReplies(segment);
        return;
    }
    if (!takeToken(segment, now))
        return;
    if (serializeHead(segment.head).size() > m_limits.pageSplitBytes) {
        auto split = splitHead(segment.head, m_wall, m_limits);
        if (split.first.records.size() >= split.second.records.size()) {
            segment.page = std::move(split.first);
            segment.headInWrite = std::move(split.second);
            writePage(index, segment, actions);
            return;
        }
    }
    segment.requestsInWrite.swap(segment.pending);
    segment.replies = std::move(batch.replies);
    writeHead(index, segment, std::move(batch.head), actions);
}

void LedgerOwner::writePage(SegmentIndex index, Segment &segment, Actions &actions)
{
    segment.phase = Phase::WritingPage;
    segment.pageName = newNonce();
    segment.operation = m_newOperation();
    ++m_writes;
    actions.emplace_back(CompareAndSwap {segment.operation, pageKey(index, segment.pageName),
                                         Revision(0), serializePage(segment.page),
                                         segment.pageName});
}

void LedgerOwner::writeHead(SegmentIndex index, Segment &segment, SegmentHead head,
                            Actions &actions)
{
    segment.phase = Phase::WritingHead;
    head.nonce = newNonce();
    segment.headInWrite = std::move(head);
    segment.operation = m_newOperation();
    ++m_writes;
    actions.emplace_back(CompareAndSwap {segment.operation, headKey(index), segment.revision,
                                         serializeHead(segment.headInWrite),
                                         segment.headInWrite.nonce});
}

void LedgerOwner::sendReplies(Segment &segment)
{
    // The hook may add another request, so the segment must be consistent before the call.
    std::vector<Pending> completed;
    std::vector<LedgerReply> replies;
    completed.swap(segment.requestsInWrite);
    replies.swap(segment.replies);
    m_answered += completed.size();
    for (std::size_t i = 0; i < completed.size(); ++i)
        m_replyHook(completed[i].operation, replies[i]);
}

void LedgerOwner::failPending(Segment &segment, TimePoint now)
{
    segment.phase = Phase::Unloaded;
    segment.retryAt = now + retryDelay;
    std::vector<Pending> failed;
    failed.swap(segment.requestsInWrite);
    failed.insert(failed.end(), segment.pending.begin(), segment.pending.end());
    segment.pending.clear();
    segment.replies.clear();
    for (const Pending &pending : failed)
        m_replyHook(pending.operation, {LedgerAnswer::Unavailable, {}});
}

bool LedgerOwner::onKeyRead(const KeyRead &read, TimePoint now, Actions &actions)
{
    for (auto &[index, segment] : m_segments) {
        if (segment.operation != read.operation)
            continue;
        if (!read.ok) {
            failPending(segment, now);
        } else if (segment.phase == Phase::ReadingHead) {
            segment.head = read.revision.value() == 0 ? SegmentHead() : parseHead(read.value);
            segment.revision = read.revision;
            segment.headVerifiedAt = now;
            onHeadLoaded(index, segment, now, actions);
        } else if (segment.phase == Phase::ReadingPages) {
            onPageRead(index, segment, read, now, actions);
        }
        return true;
    }
    return false;
}

void LedgerOwner::onHeadLoaded(SegmentIndex index, Segment &segment, TimePoint now,
                               Actions &actions)
{
    if (segment.head.lastPage != segment.newestArchivedPage) {
        readPage(index, segment, segment.head.lastPage, actions);
        return;
    }
    segment.phase = Phase::Ready;
    startNextStep(index, segment, now, actions);
}

void LedgerOwner::onPageRead(SegmentIndex index, Segment &segment, const KeyRead &read,
                             TimePoint now, Actions &actions)
{
    if (read.revision.value() == 0) {
        // A page in the linked list of the head is missing. Without its records, a claim could be
        // granted twice.
        failPending(segment, now);
        return;
    }
    const LedgerPage page = parsePage(read.value);
    bool retained = false;
    for (const LedgerRecord &record : page.records) {
        segment.archive[record.key] = record;
        retained = retained || m_wall.value() - record.when.value() < m_limits.retention.count();
    }
    const bool needsPreviousPage =
        retained && !page.previous.value().empty() && page.previous != segment.newestArchivedPage;
    if (needsPreviousPage) {
        readPage(index, segment, page.previous, actions);
        return;
    }
    segment.newestArchivedPage = segment.head.lastPage;
    segment.phase = Phase::Ready;
    startNextStep(index, segment, now, actions);
}

bool LedgerOwner::onSwapDone(const SwapDone &done, TimePoint now, Actions &actions)
{
    for (auto &[index, segment] : m_segments) {
        if (segment.operation != done.operation)
            continue;
        if (done.outcome == SwapOutcome::Unknown) {
            failPending(segment, now);
            return true;
        }
        if (segment.phase == Phase::WritingPage) {
            if (done.outcome == SwapOutcome::Conflict) {
                failPending(segment, now);
                return true;
            }
            SegmentHead remaining = segment.headInWrite;
            remaining.lastPage = segment.pageName;
            writeHead(index, segment, std::move(remaining), actions);
            return true;
        }
        if (segment.phase != Phase::WritingHead)
            return true;
        if (done.outcome == SwapOutcome::Conflict)
            onHeadConflict(index, segment, done, now, actions);
        else
            onHeadWritten(index, segment, done, now, actions);
        return true;
    }
    return false;
}

void LedgerOwner::onHeadConflict(SegmentIndex index, Segment &segment, const SwapDone &done,
                                 TimePoint now, Actions &actions)
{
    // Another owner wrote the head, so nothing of this batch took effect. The batch is retried.
    segment.pending.insert(segment.pending.begin(), segment.requestsInWrite.begin(),
                           segment.requestsInWrite.end());
    segment.requestsInWrite.clear();
    segment.replies.clear();
    segment.page = {};
    segment.head = parseHead(done.value);
    segment.revision = done.revision;
    segment.headVerifiedAt = now;
    onHeadLoaded(index, segment, now, actions);
}

void LedgerOwner::onHeadWritten(SegmentIndex index, Segment &segment, const SwapDone &done,
                                TimePoint now, Actions &actions)
{
    if (segment.headInWrite.lastPage != segment.head.lastPage) {
        for (LedgerRecord &record : segment.page.records)
            segment.archive[record.key] = std::move(record);
        segment.newestArchivedPage = segment.headInWrite.lastPage;
    }
    segment.page = {};
    segment.head = segment.headInWrite;
    segment.revision = done.revision;
    segment.headVerifiedAt = now;
    segment.phase = Phase::Ready;
    sendReplies(segment);
    startNextStep(index, segment, now, actions);
}

} // namespace bramleypitch
