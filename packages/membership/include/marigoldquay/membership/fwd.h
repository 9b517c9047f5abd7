// Public types of the membership package.
#ifndef MARIGOLDQUAY_MEMBERSHIP_FWD_H_
#define MARIGOLDQUAY_MEMBERSHIP_FWD_H_

namespace marigoldquay {

class MemberView;
class OwnershipView;
struct Member;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_FWD_H_
