package routing

import "testing"

func newTestTable() *Table {
	return NewTable(1, Limits{}, nil, []Route{
		{
			Name:   "root",
			Host:   "a.example",
			Prefix: "/",
		},
		{
			Name:   "deep",
			Host:   "A.example",
			Prefix: "/x/y/",
		},
	}, []Workspace{
		{
			Name: "w",
			Keys: []string{"k1", "k2"},
		},
	})
}

func TestTableRoutesByLongestPrefix(t *testing.T) {
	table := newTestTable()
	for _, tc := range []struct{ host, path, want string }{
		{
			host: "a.example",
			path: "/x/y/z",
			want: "deep",
		},
		{
			host: "A.EXAMPLE:80",
			path: "/x/y/",
			want: "deep",
		},
		{
			host: "a.example",
			path: "/x/y",
			want: "root",
		},
		{
			host: "b.example",
			path: "/x/y/z",
		},
		{
			host: "a.example",
			path: "*",
		},
	} {
		got := ""
		if r := table.Route(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s: got %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

func TestTableFindsWorkspaceByKey(t *testing.T) {
	table := newTestTable()
	if w := table.Workspace("k2"); w == nil || w.Name != "w" {
		t.Errorf("key k2: got %v, want workspace w", w)
	}
	if w := table.Workspace("none"); w != nil {
		t.Errorf("unknown key: got %v, want none", w)
	}
}
