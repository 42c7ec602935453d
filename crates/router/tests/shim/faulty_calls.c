/* Preloaded into a router: socket calls fail for a moment and take or give only a part, in turns. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <sys/uio.h>

static atomic_uint calls;

/* Fails one call of three with the errors in turn. */
static int fails(const int *errors, unsigned count) {
    unsigned call = atomic_fetch_add(&calls, 1);
    if (call % 3 != 0)
        return 0;
    errno = errors[call / 3 % count];
    return 1;
}

ssize_t recv(int fd, void *buffer, size_t size, int flags) {
    static const int errors[] = {EINTR, EAGAIN, ENOMEM};
    ssize_t (*real)(int, void *, size_t, int) = dlsym(RTLD_NEXT, "recv");
    if (fails(errors, 3))
        return -1;
    return real(fd, buffer, size > 4000 ? 4000 : size, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    static const int errors[] = {EINTR, EAGAIN, ENOBUFS};
    ssize_t (*real)(int, const void *, size_t, int) = dlsym(RTLD_NEXT, "send");
    if (fails(errors, 3))
        return -1;
    while (count > 1 && parts->iov_len == 0)
        parts++, count--;
    return real(fd, parts->iov_base, parts->iov_len > 3000 ? 3000 : parts->iov_len, MSG_NOSIGNAL);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {EINTR, ECONNABORTED, ENFILE, ENOBUFS};
    int (*real)(int, struct sockaddr *, socklen_t *, int) = dlsym(RTLD_NEXT, "accept4");
    if (fails(errors, 4))
        return -1;
    return real(fd, address, length, flags);
}
