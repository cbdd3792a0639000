package commander

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sycamorerun/ctl/issuer"
)

const day = 24 * time.Hour

func (c *Commander) localCommands() []*cobra.Command {
	newToken := &cobra.Command{
		Use: "new", Short: "Print a new random token and its hash",
		Long: `Print a new random token and its hash.

The operator keeps the token; the hash goes into the administrators' settings
file or, for the first administrator, into the nodes' setting --admin-hash.`,
		Example: "  srctl token new",
		Args:    cobra.NoArgs,
		RunE: c.runE(func(context.Context, *cobra.Command, []string) error {
			token, hash := issuer.Token()
			return c.print(map[string]string{"token": token, "hash": hash}, func(w io.Writer) {
				fmt.Fprintf(w, "token %s\nhash  %s\n", token, hash)
			})
		}),
	}
	var names []string
	var addresses []net.IP
	var days int
	newKeys := &cobra.Command{
		Use: "new DIR", Short: "Create a cluster CA and a peer certificate for tests and demos",
		Long: `Create a cluster CA and a peer certificate for tests and demos.

DIR receives ca.pem, cert.pem and key.pem, readable by the owner only. The CA's
key is not kept. Existing files are not replaced.`,
		Example: "  srctl keys new demo-keys",
		Args:    cobra.ExactArgs(1),
		RunE: c.runE(func(_ context.Context, _ *cobra.Command, args []string) error {
			if days < 1 || days > 3650 {
				return usageError(errors.Errorf("--days %d is outside 1..3650", days))
			}
			request := issuer.Request{Names: names, Addresses: addresses, Lifetime: time.Duration(days) * day}
			if err := issuer.Keys(c.Now(), args[0], request); err != nil {
				return err
			}
			return c.print(map[string]string{"directory": args[0]}, func(w io.Writer) {
				fmt.Fprintf(w, "created %s, %s and %s in %s\n", issuer.FileCA, issuer.FileCert, issuer.FileKey, args[0])
			})
		}),
	}
	newKeys.Flags().StringSliceVar(&names, "name", []string{"sycamorerun", "localhost"}, "DNS `NAME` in the certificate; repeatable")
	newKeys.Flags().IPSliceVar(&addresses, "address", []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}, "`IP` address in the certificate; repeatable")
	newKeys.Flags().IntVar(&days, "days", 365, "lifetime in days, 1 to 3650")
	return []*cobra.Command{
		newParentCommand("token", "Make operators' tokens", groupLocal, newToken),
		newParentCommand("keys", "Make certificates for tests and demos", groupLocal, newKeys),
	}
}
