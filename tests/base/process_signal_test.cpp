#include "poplarspool/base/process_signal.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <thread>

namespace poplarspool {

class process_signal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_signal_test);
    CPPUNIT_TEST(sighupRequestsReload);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Operators send SIGHUP to reload the settings file. Unhandled, the signal terminated the
    /// process and with it all running requests.
    void sighupRequestsReload()
    {
        // On a separate thread, so that the signal mask of the other tests doesn't change.
        bool isReload = false;
        bool isTermination = false;
        std::thread serving([&] {
            blockSignals();
            raise(SIGHUP);
            isReload = waitForSignal() == process_signal::Reload;
            raise(SIGTERM);
            isTermination = waitForSignal() == process_signal::Terminate;
        });
        serving.join();
        CPPUNIT_ASSERT(isReload && isTermination);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_signal_test);

} // namespace poplarspool
