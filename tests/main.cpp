#include "known_red.h"

#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

namespace {

/// Relative to the root of the repository, from which the tests are run.
constexpr char knownRedFile[] = "KNOWN-RED.txt";

/// Prints the failures listed in KNOWN-RED.txt.
/// @returns The number of other failures.
int countNewFailures(const CppUnit::TestResultCollector &results)
{
    const auto knownRed = poplarspool::test::readKnownRed(knownRedFile);
    int failures = 0;
    for (const CppUnit::TestFailure *failure : results.failures()) {
        const std::string line =
                poplarspool::test::lineOf(knownRed, failure->failedTest()->getName());
        if (line.empty())
            ++failures;
        else
            std::cerr << "known red: " << line << '\n';
    }
    return failures;
}

} // namespace

/// Runs all registered test suites, or the one that the argument names. Exits with 0 only if at
/// least one test ran and all tests passed except those listed in KNOWN-RED.txt.
int main(int argc, char **argv)
{
    CppUnit::TextUi::TestRunner runner;
    CppUnit::Test *suite = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    const int cases = suite->countTestCases();
    runner.addTest(suite);
    runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
    runner.run(argc > 1 ? argv[1] : "", false, true, false);
    return cases > 0 && countNewFailures(runner.result()) == 0 ? 0 : 1;
}
