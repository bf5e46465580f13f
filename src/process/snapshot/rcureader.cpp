#include "process/snapshot/rcureader.h"

#include <urcu/urcu-memb.h>

namespace nutmegplank::process::snapshot {

namespace {

class ThreadRegistration
{
public:
    ThreadRegistration() { urcu_memb_register_thread(); }
    ~ThreadRegistration() { urcu_memb_unregister_thread(); }
};

auto registerThread() -> void
{
    thread_local const auto registration = ThreadRegistration();
}

} // namespace

RcuReader::RcuReader()
{
    registerThread();
    urcu_memb_read_lock();
}

RcuReader::~RcuReader()
{
    urcu_memb_read_unlock();
}

auto waitForReaders() -> void
{
    urcu_memb_synchronize_rcu();
}

} // namespace nutmegplank::process::snapshot
