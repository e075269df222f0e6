#include <balsamport/core/log.h>

namespace balsamport {

void startLogging(const char *program, int minimumLevel)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = minimumLevel;
    google::InitGoogleLogging(program);
}

} // namespace balsamport
