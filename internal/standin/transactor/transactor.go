// Package transactor is the table of the platform stand-in: rows, conditions
// and transactions, without their encoding.
package transactor

import (
	"sort"
)

// Attribute is a value of an item. The interface is sealed.
type Attribute interface{ attribute() }

// String is an attribute of type S.
type String string

// Number is an attribute of type N in its decimal form.
type Number string

func (String) attribute() {}
func (Number) attribute() {}

// Names of the attributes of the primary key.
const (
	KindName = "kind"
	KeyName  = "key"
)

// Item is a row. It must not be changed after it was given to a transactor.
type Item map[string]Attribute

// Key is the primary key of a row.
type Key struct{ Kind, Key string }

// Key returns the primary key of the item; false if it has none.
func (i Item) Key() (Key, bool) {
	kind, okKind := i[KindName].(String)
	key, okKey := i[KeyName].(String)
	return Key{Kind: string(kind), Key: string(key)}, okKind && okKey && kind != "" && key != ""
}

// Condition is what an operation requires of the present row. The interface is
// sealed.
type Condition interface{ condition() }

// Absent requires that there is no row with the attribute Name.
type Absent struct{ Name string }

// Equal requires a row whose attribute Name has the value.
type Equal struct {
	Name  string
	Value Attribute
}

func (Absent) condition() {}
func (Equal) condition()  {}

// Operation is a part of a transaction. The interface is sealed.
type Operation interface{ operation() }

// Put replaces a row.
type Put struct {
	Item      Item
	Condition Condition
}

// Check requires a condition of a row and leaves it as it is.
type Check struct {
	Key       Key
	Condition Condition
}

func (Put) operation()   {}
func (Check) operation() {}

// Transactor is a table. It is not safe for concurrent use.
type Transactor struct {
	kinds map[string]map[string]Item
}

// New returns an empty table.
func New() *Transactor { return &Transactor{kinds: map[string]map[string]Item{}} }

// Get returns a row, nil if there is none.
func (t *Transactor) Get(k Key) Item { return t.kinds[k.Kind][k.Key] }

// Query returns all rows of a kind, sorted by key.
func (t *Transactor) Query(kind string) []Item {
	rows := t.kinds[kind]
	keys := make([]string, 0, len(rows))
	for key := range rows {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	items := make([]Item, 0, len(keys))
	for _, key := range keys {
		items = append(items, rows[key])
	}
	return items
}

// Transact does all operations, or none if a condition fails. It returns the
// indexes of the operations whose conditions failed.
func (t *Transactor) Transact(operations []Operation) []int {
	var failed []int
	for i, operation := range operations {
		if !t.holds(operation) {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	for _, operation := range operations {
		if put, ok := operation.(Put); ok {
			k, _ := put.Item.Key()
			if t.kinds[k.Kind] == nil {
				t.kinds[k.Kind] = map[string]Item{}
			}
			t.kinds[k.Kind][k.Key] = put.Item
		}
	}
	return nil
}

// KeyOf returns the key of the row that an operation concerns.
func KeyOf(operation Operation) Key {
	switch o := operation.(type) {
	case Put:
		k, _ := o.Item.Key()
		return k
	case Check:
		return o.Key
	}
	return Key{}
}

func (t *Transactor) holds(operation Operation) bool {
	row := t.Get(KeyOf(operation))
	var condition Condition
	switch o := operation.(type) {
	case Put:
		condition = o.Condition
	case Check:
		condition = o.Condition
	}
	switch c := condition.(type) {
	case Absent:
		_, present := row[c.Name]
		return !present
	case Equal:
		value, present := row[c.Name]
		return present && value == c.Value
	}
	return false
}
