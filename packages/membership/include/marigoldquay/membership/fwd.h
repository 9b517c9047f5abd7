// Public types of the membership package.
#ifndef MARIGOLDQUAY_MEMBERSHIP_FWD_H_
#define MARIGOLDQUAY_MEMBERSHIP_FWD_H_

namespace marigoldquay {

class ExclusiveState;
class GuardianDuty;
class HandOver;
class Heartbeats;
class MemberLease;
class MemberSet;
class MemberView;
class MembershipService;
class MembershipState;
class OwnershipTracker;
class PeerCatchUp;
class PeerTable;
class PeriodicThread;
struct HandOverSource;
struct JoinRecord;
struct LeaveRecord;
struct LocalStatus;
struct Member;
struct MemberChange;
struct MemberHealth;
struct MembershipOptions;
struct PeerInfo;
struct RemoveRecord;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_FWD_H_
