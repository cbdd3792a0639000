package requester

import (
	"io"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against dead connections that stay undetected because socket options
// are missing, also after an upload.
func TestProbes(t *testing.T) {
	is := is.New(t)
	upstream := newFakeUpstream(t, echo)
	r := New(upstream.address, 1)
	defer r.Close()
	for _, body := range []io.Reader{nil, &endlessBody{}} {
		request := getRequest(t.Context(), "")
		if body != nil {
			request = postRequest(t.Context(), io.LimitReader(body, 9), -1)
		}
		is.Equal(do(r, request).status, 200)
		for idleCount(&r.pool) == 0 {
			continue
		}
		got := map[int]int{}
		is.NoErr(r.pool.idle[0].raw.Control(func(fd uintptr) {
			for _, option := range []int{unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT, unix.TCP_USER_TIMEOUT} {
				got[option], _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			}
		}))
		is.Equal(got, map[int]int{
			unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 3, unix.TCP_USER_TIMEOUT: 3000,
		})
	}
}
