package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestForWaitsOrEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if !For(context.Background(), time.Second) || time.Since(began) != time.Second {
			t.Errorf("it returned after %v, want a second", time.Since(began))
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		began = time.Now()
		if For(ctx, time.Minute) || time.Since(began) != time.Second {
			t.Errorf("it returned after %v, its context ended after a second", time.Since(began))
		}
		if For(ctx, 0) || !For(context.Background(), 0) {
			t.Error("no time to wait: it goes by the context alone")
		}
	})
}
